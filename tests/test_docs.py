"""The pages made from the code are in step with it, and what the docs name exists."""

from __future__ import annotations

import pathlib
import re

from bronzequay import codes
from bronzequay.cfg import entry, node
from bronzequay.obs import pages

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"


def test_the_page_of_result_codes_is_in_step() -> None:
    assert (DOCS / "result-codes.md").read_text(encoding="utf-8") == pages.render_result_codes()


def test_the_page_of_settings_is_in_step() -> None:
    page = (DOCS / "reference" / "settings.md").read_text(encoding="utf-8")
    assert page == pages.render_settings(entry.SETTINGS, node.SETTINGS)


def test_every_code_has_a_meaning() -> None:
    assert set(codes.MEANINGS) == set(codes.ResultCode)


def test_every_test_that_the_invariants_name_exists() -> None:
    page = (DOCS / "invariants.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`(tests/[a-z_/]+\.py)", page))
    assert named
    for path in named:
        assert (ROOT / path).exists(), path
