"""Measurements; each module prints one JSON object."""

from __future__ import annotations
