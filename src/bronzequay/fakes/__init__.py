"""Small stand-ins for the platform, a worker and an executor."""

from __future__ import annotations
