"""Settings of the daemons and configuration bundles; imports ``store`` and ``policy``."""

from __future__ import annotations
