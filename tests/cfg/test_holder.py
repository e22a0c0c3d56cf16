from __future__ import annotations

import pytest

from bronzequay import errors, ids
from bronzequay.cfg import holder


def bundle_text(number: int) -> bytes:
    return f'format = 1\n[[organisation]]\nid = "org-{number}"\n'.encode()


def make_holder() -> holder.Holder:
    return holder.Holder(wall_clock=lambda: 5.0)


def test_only_a_higher_version_is_adopted() -> None:
    bundle_holder = make_holder()
    notified: list[int] = []
    bundle_holder.on_change(lambda adopted: notified.append(adopted.version))
    versions = [2, 1, 2, 5, 4, 3]
    adopted = [bundle_holder.adopt(ids.BundleVersion(item), bundle_text(item)) for item in versions]
    assert adopted == [True, False, False, True, False, False]
    assert notified == [2, 5]
    assert bundle_holder.version == 5


def test_an_invalid_text_leaves_the_bundle_in_force() -> None:
    bundle_holder = make_holder()
    bundle_holder.adopt(ids.BundleVersion(1), bundle_text(1))
    with pytest.raises(errors.BronzequayError):
        bundle_holder.adopt(ids.BundleVersion(2), b"format = 9")
    assert bundle_holder.version == 1
