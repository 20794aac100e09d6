"""Policies that decide what runs where."""

from __future__ import annotations
