"""Pure scheduling decisions: state and an event in, commands out.

No clock, no input or output, no randomness. Imports ``ids`` and ``codes`` only.
"""

from __future__ import annotations
