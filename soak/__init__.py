"""Randomised soak: real instances as processes, injected faults, invariants checked meanwhile."""
