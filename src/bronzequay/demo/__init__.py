"""The demo: drives a running deployment on loopback and prints the analyst's report."""

from __future__ import annotations
