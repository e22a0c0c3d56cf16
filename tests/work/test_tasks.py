from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.work import tasks


def test_a_task_id_is_parsed_into_its_parts() -> None:
    task = tasks.task_id(ids.JobId("j.1"), 2, 3)
    assert task == "j.1.2.3"
    assert tasks.parse(task) == ("j.1", 2, 3)


@pytest.mark.parametrize("name", ["", "j", "j.1", "j.x.1", "j.1.x", ".1.2"])
def test_an_id_of_another_form_is_not_parsed(name: str) -> None:
    assert tasks.parse(ids.TaskId(name)) is None
