"""Runs the active scheduler of a partition: lease, journal, gangs, job commands."""

from __future__ import annotations
