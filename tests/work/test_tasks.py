from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.work import tasks


def test_a_task_id_can_be_split_again() -> None:
    task = tasks.task_id(ids.JobId("j.1"), 2, 3)
    assert task == "j.1.2.3"
    assert tasks.parse(task) == ("j.1", 2, 3)


@pytest.mark.parametrize("name", ["", "j", "j.1", "j.x.1", "j.1.x", ".1.2"])
def test_foreign_ids_are_not_ours(name: str) -> None:
    assert tasks.parse(ids.TaskId(name)) is None
