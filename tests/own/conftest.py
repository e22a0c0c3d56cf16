"""Makes the in-memory site of the control tests available here."""

from __future__ import annotations

from tests.control.conftest import site

__all__ = ["site"]
