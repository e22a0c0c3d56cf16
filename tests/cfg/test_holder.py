from __future__ import annotations

import pytest

from bronzequay import errors, ids
from bronzequay.cfg import holder


def text(number: int) -> bytes:
    return f'format = 1\n[[organisation]]\nid = "org-{number}"\n'.encode()


def make() -> holder.Holder:
    return holder.Holder(wall_clock=lambda: 5.0)


def test_only_a_higher_version_is_adopted() -> None:
    target = make()
    seen: list[int] = []
    target.on_change(lambda adopted: seen.append(adopted.version))
    order = [2, 1, 2, 5, 4, 3]
    adopted = [target.adopt(ids.BundleVersion(item), text(item)) for item in order]
    assert adopted == [True, False, False, True, False, False]
    assert seen == [2, 5]
    assert target.version == 5


def test_a_bad_text_leaves_the_bundle_in_force() -> None:
    target = make()
    target.adopt(ids.BundleVersion(1), text(1))
    with pytest.raises(errors.BronzequayError):
        target.adopt(ids.BundleVersion(2), b"format = 9")
    assert target.version == 1
