"""Main program that runs the role named in the platform's settings file."""

from __future__ import annotations

import os
import sys

from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.logs import logging_to
from filbertlb.logs import LogSettings
from filbertlb.platform.roles import run_agent
from filbertlb.platform.roles import run_entry
from filbertlb.platform.settings import load_settings_file

RUN_BY_ROLE = {"entry": run_entry, "agent": run_agent}


def main() -> int:
    """Run the configured role and return the exit code."""
    # Non-blocking, so that a stalled reader of the log pipe cannot block the
    # process.
    os.set_blocking(sys.stdout.fileno(), False)
    with logging_to(LogSettings(json_lines=True), sys.stdout):
        try:
            settings = load_settings_file()
            RUN_BY_ROLE[settings.role](settings)
        except FilbertlbError as error:
            logger.error("stops: {} {}", error.code, error)
            return 1
    return 0


sys.exit(main())
