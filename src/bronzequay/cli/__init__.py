"""The command line, one module per command; may import any package."""

from __future__ import annotations
