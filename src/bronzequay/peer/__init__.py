"""Messages between entry instances: membership, forwarding, bundle spread."""

from __future__ import annotations
