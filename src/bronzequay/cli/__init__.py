"""Command line, one file a command; imports any package."""

from __future__ import annotations
