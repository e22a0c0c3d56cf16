"""Short requests to executors: fair queue, slots, retry budget, claims."""

from __future__ import annotations
