"""Benchmarks; each module with a command line prints one JSON object."""

from __future__ import annotations
