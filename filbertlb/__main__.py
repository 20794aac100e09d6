"""Runs the ``filbertlb`` command."""

from __future__ import annotations

from filbertlb.cli.main import main

main()
