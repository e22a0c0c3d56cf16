"""Scheduling decisions as pure functions of a state and an event.

The package reads no clock, does no input or output and uses no randomness. Of the rest of
bronzequay it imports ``ids`` and ``codes`` only.
"""

from __future__ import annotations
