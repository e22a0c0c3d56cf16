"""Workers and executors: protocol adapters, leases, keepers."""

from __future__ import annotations
