from __future__ import annotations

from bronzequay.policy import model


def test_every_state_has_a_row_in_the_transition_table() -> None:
    assert set(model.TRANSITIONS) == set(model.JobState)


def test_final_states_have_no_transitions() -> None:
    for state in model.FINAL_STATES:
        assert not model.TRANSITIONS[state]
