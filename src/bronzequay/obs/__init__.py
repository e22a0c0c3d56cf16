"""Logs, metrics, state dump and the analyst's report."""

from __future__ import annotations
