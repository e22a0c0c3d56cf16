"""Logs, metrics, the state dump, the hire sheet and the analyst's report."""

from __future__ import annotations
