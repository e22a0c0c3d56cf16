from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle
from bronzequay.policy import model

VALID_BUNDLE = b"""
format = 1
[[organisation]]
id = "org-a"
guarantee = [{ accelerators = 8, count = 2 }]
[[principal]]
name = "desk"
role = "caller"
organisation = "org-a"
token_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
"""


def test_a_valid_bundle_is_converted_to_rules() -> None:
    rules = bundle.to_rules(bundle.parse(VALID_BUNDLE), ids.BundleVersion(3))
    assert rules.version == 3
    assert rules.orgs[ids.OrgId("org-a")].guarantee == (model.Shape(8, 2),)


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        (b"format = 1", b"format = 2", "format"),
        (b"count = 2", b"count = -2", "count"),
        (b"count = 2", b"cuont = 2", "cuont"),
        (b"id =", b"id = ", ""),
        (b'"org-a"\ntoken', b'"org-x"\ntoken', "org-x"),
        (b"format = 1", b"format = ", "line 2"),
        (b"[[principal]]", b'[[organisation]]\nid="org-a"\n[[principal]]', "twice"),
        (b"format = 1", b"format = 1\n[floors]\nurgent = 0.9\n", "sum"),
        (b'role = "caller"', b'role = "king"', "king"),
    ],
)
def test_an_invalid_bundle_is_refused_with_the_line_or_field(
    old: bytes, new: bytes, expected_text: str
) -> None:
    text = VALID_BUNDLE.replace(old, new)
    if not expected_text:
        assert bundle.parse(text).organisation[0].id == "org-a"
        return
    with pytest.raises(errors.BronzequayError) as caught:
        bundle.parse(text)
    assert caught.value.code is codes.ResultCode.BUNDLE_INVALID
    assert expected_text in str(caught.value)


@hypothesis.given(st.binary(max_size=200))
@hypothesis.settings(derandomize=True, max_examples=200)
def test_any_bytes_parse_or_fail_with_bundle_invalid(text: bytes) -> None:
    try:
        bundle.parse(text)
    except errors.BronzequayError as exc:
        assert exc.code is codes.ResultCode.BUNDLE_INVALID


@hypothesis.given(st.integers(0, len(VALID_BUNDLE) - 1), st.binary(max_size=6))
@hypothesis.settings(derandomize=True, max_examples=300)
def test_a_bundle_corrupted_anywhere_parses_or_fails_with_bundle_invalid(
    offset: int, replacement: bytes
) -> None:
    try:
        bundle.parse(
            VALID_BUNDLE[:offset] + replacement + VALID_BUNDLE[offset + len(replacement) :]
        )
    except errors.BronzequayError as exc:
        assert exc.code is codes.ResultCode.BUNDLE_INVALID
