from __future__ import annotations

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.route import claim_bucket, model
from tests.route import fleet as fleets

State = claim_bucket.ClaimState


def make_claim(owner: str, *, answer: bytes | None = None) -> claim_bucket.Claim:
    return claim_bucket.Claim(State.CLAIMED, owner, b"body", answer=answer)


def make_ask(digest: bytes, owner: str) -> claim_bucket.Ask:
    return claim_bucket.Ask(digest, make_claim(owner), trio.Event())


def test_first_of_two_asks_for_a_key_gets_it() -> None:
    bucket = claim_bucket.decode(None)
    first, second = make_ask(b"k", "a"), make_ask(b"k", "b")
    bucket.apply([first, second], [], now_s=1000)
    assert first.held is None
    assert second.held is not None
    assert second.held.owner == "a"


def test_applying_twice_changes_nothing_more() -> None:
    bucket = claim_bucket.decode(None)
    ask = make_ask(b"k", "a")
    bucket.apply([ask], [], now_s=1000)
    value = claim_bucket.encode(bucket)
    again = claim_bucket.decode(value)
    assert not again.apply([ask], [], now_s=1000)
    assert ask.held is None


def test_settlement_by_another_owner_changes_nothing() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_ask(b"k", "a")], [], now_s=1000)
    bucket.apply([], [claim_bucket.Settlement(b"k", "b", None)], now_s=1000)
    assert bucket.claims[b"k"].owner == "a"


def test_claims_are_kept_for_their_time_and_then_forgotten() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_ask(b"k", "a")], [], now_s=1000)
    for second in range(1000, 1001 + int(claim_bucket.KEEP_S)):
        assert bucket.claims
        bucket.apply([], [], now_s=second)
    bucket.apply([], [], now_s=1001 + claim_bucket.KEEP_S)
    assert not bucket.claims


def test_outage_or_leap_of_a_clock_forgets_no_claim() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_ask(b"k", "a")], [], now_s=1000)
    for now_s in (5000, 1000, 5000, 1001, 9000):
        bucket.apply([], [], now_s=now_s)
    assert bucket.claims


def test_full_bucket_drops_answers_first_then_refuses_and_fits_a_value() -> None:
    answer = b"x" * claim_bucket.MAX_ANSWER_BYTES
    done = {
        number.to_bytes(12, "big"): make_claim(f"instance-{number}/{10**15}", answer=answer)
        for number in range(3000)
    }
    bucket = claim_bucket.Bucket(done, age_s=100)
    asks = [
        make_ask(b"b" + number.to_bytes(11, "big"), f"instance-b/{number}")
        for number in range(9999)
    ]
    bucket.apply(asks, [], now_s=1100)
    refused = [ask for ask in asks if ask.is_full]
    assert 0 < len(refused) < len(asks)
    assert len(claim_bucket.encode(bucket)) <= 1_000_000
    assert all(claim.answer is None for claim in bucket.claims.values())
    assert len(bucket.claims) == 3000 + len(asks) - len(refused)


@pytest.mark.parametrize(
    ("outcome", "state"),
    [
        (errors.BronzequayError(codes.ResultCode.QUEUE_FULL, ""), None),
        (errors.BronzequayError(codes.ResultCode.DEADLINE_PASSED, ""), None),
        (errors.BronzequayError(codes.ResultCode.EXECUTOR_FAILED, ""), State.FAILED),
        (errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, ""), State.UNKNOWN),
        (errors.BronzequayError(codes.ResultCode.INTERNAL, ""), State.UNKNOWN),
        (model.Response(ids.RequestId("r"), b"a", ids.ExecutorId("x")), State.DONE),
    ],
)
def test_only_what_was_not_run_frees_the_key(
    outcome: model.Response | errors.BronzequayError, state: State | None
) -> None:
    record = claim_bucket.settled(make_claim("a"), outcome)
    assert (record and record.state) == state


def test_answer_too_large_to_keep_is_told_as_unknown_never_run_again() -> None:
    req = fleets.make_request(1, key="k")
    large = model.Response(req.request_id, b"x" * 10_000, ids.ExecutorId("x"))
    claim = claim_bucket.Claim(State.CLAIMED, "a", claim_bucket.body_digest_of(req))
    record = claim_bucket.settled(claim, large)
    assert record is not None
    with pytest.raises(errors.BronzequayError) as caught:
        claim_bucket.recall(record, req)
    assert caught.value.code is codes.ResultCode.OUTCOME_UNKNOWN


@given(st.tuples(st.text(), st.text(), st.text()), st.tuples(st.text(), st.text(), st.text()))
def test_digests_differ_when_any_part_does(
    one: tuple[str, str, str], two: tuple[str, str, str]
) -> None:
    digests = [
        claim_bucket.digest_of(
            model.Request(
                ids.RequestId("r"),
                fleets.SERVICE,
                ids.OrgId(org),
                ids.CallerId(caller),
                key=key,
            )
        )
        for org, caller, key in (one, two)
    ]
    assert (digests[0] == digests[1]) == (one == two)
