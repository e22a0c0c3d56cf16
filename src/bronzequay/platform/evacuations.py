"""Keys under which the operator evacuates data centres."""

from __future__ import annotations

from bronzequay import ids

PREFIX = "op/evacuate/"


def data_centre_from_key(key: str) -> ids.DataCentreId | None:
    """Return the data centre that a key evacuates, None when the key names none.

    The value of the key does not matter.
    """
    return ids.DataCentreId(key[len(PREFIX) :]) or None


__all__ = ["PREFIX", "data_centre_from_key"]
