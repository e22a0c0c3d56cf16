"""Routing of short requests to executors: fair queueing, slot estimates, retries, claims."""

from __future__ import annotations
