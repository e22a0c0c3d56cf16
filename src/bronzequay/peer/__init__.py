"""Mesh between entry instances: calls, membership and the spread of bundles."""

from __future__ import annotations
