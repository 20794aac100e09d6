"""Pure decisions and the data they are taken on."""

from __future__ import annotations
