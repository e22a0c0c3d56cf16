"""Stand-ins for the platform, the workers, the executors and the advice service."""

from __future__ import annotations
