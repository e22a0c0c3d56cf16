"""Scheduler for multi-accelerator jobs under organisations' guarantees."""

from __future__ import annotations
