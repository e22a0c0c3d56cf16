"""The scheduler's shell: journal, takeover, gang start, reconcile."""

from __future__ import annotations
