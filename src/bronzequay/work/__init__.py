"""Clients of workers and executors, the worker directory and the renewal of task leases."""

from __future__ import annotations
