"""Generated pages match the code, and tests that the docs name exist."""

from __future__ import annotations

import pathlib
import re

from bronzequay import codes
from bronzequay.cfg import entry, node
from bronzequay.obs import pages

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"


def test_the_page_of_result_codes_matches_the_code() -> None:
    assert (DOCS / "result-codes.md").read_text(encoding="utf-8") == pages.render_result_codes()


def test_the_page_of_settings_matches_the_code() -> None:
    page = (DOCS / "reference" / "settings.md").read_text(encoding="utf-8")
    assert page == pages.render_settings(entry.SETTINGS, node.SETTINGS)


def test_every_code_has_a_meaning() -> None:
    assert set(codes.MEANINGS) == set(codes.ResultCode)


def test_every_test_file_that_the_invariants_name_exists() -> None:
    page = (DOCS / "invariants.md").read_text(encoding="utf-8")
    test_paths = set(re.findall(r"`(tests/[a-z_/]+\.py)", page))
    assert test_paths
    for path in test_paths:
        assert (ROOT / path).exists(), path
