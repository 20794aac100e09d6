"""Main program that runs the role named in the platform's settings file."""

from __future__ import annotations

import os
import sys
from importlib import import_module

from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.logs import logging_to
from filbertlb.logs import LogSettings
from filbertlb.platform.settings import load_settings_file

FUNCTION_BY_ROLE = {
    "entry": ("filbertlb.platform.entry", "run_entry"),
    "agent": ("filbertlb.platform.agent", "run_agent"),
}
"""Module and function of each role.

Only that of the role is imported, as agents need neither the time nor the
memory for the modules that decide.
"""


def main() -> int:
    """Run the configured role and return the exit code."""
    # Non-blocking, so that a stalled reader of the log pipe cannot block the
    # process.
    os.set_blocking(sys.stdout.fileno(), False)
    with logging_to(LogSettings(json_lines=True), sys.stdout):
        try:
            settings = load_settings_file()
            module, function = FUNCTION_BY_ROLE[settings.role]
            getattr(import_module(module), function)(settings)
        except FilbertlbError as error:
            logger.error("stops: {} {}", error.code, error)
            return 1
    return 0


sys.exit(main())
