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


def make_claim_request(digest: bytes, owner: str) -> claim_bucket.ClaimRequest:
    return claim_bucket.ClaimRequest(digest, make_claim(owner), trio.Event())


def test_first_of_two_claim_requests_for_a_key_is_granted() -> None:
    bucket = claim_bucket.decode(None)
    first, second = make_claim_request(b"k", "a"), make_claim_request(b"k", "b")
    bucket.apply([first, second], [], now_s=1000)
    assert first.existing is None
    assert second.existing is not None
    assert second.existing.owner == "a"


def test_applying_a_claim_request_twice_changes_nothing() -> None:
    bucket = claim_bucket.decode(None)
    claim_request = make_claim_request(b"k", "a")
    bucket.apply([claim_request], [], now_s=1000)
    value = claim_bucket.encode(bucket)
    reloaded = claim_bucket.decode(value)
    assert not reloaded.apply([claim_request], [], now_s=1000)
    assert claim_request.existing is None


def test_settlement_by_another_owner_changes_nothing() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_claim_request(b"k", "a")], [], now_s=1000)
    bucket.apply([], [claim_bucket.Settlement(b"k", "b", None)], now_s=1000)
    assert bucket.claims[b"k"].owner == "a"


def test_claims_expire_after_their_retention_period() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_claim_request(b"k", "a")], [], now_s=1000)
    for second in range(1000, 1001 + int(claim_bucket.RETENTION_S)):
        assert bucket.claims
        bucket.apply([], [], now_s=second)
    bucket.apply([], [], now_s=1001 + claim_bucket.RETENTION_S)
    assert not bucket.claims


def test_claim_does_not_expire_early_after_an_outage_or_a_clock_jump() -> None:
    bucket = claim_bucket.decode(None)
    bucket.apply([make_claim_request(b"k", "a")], [], now_s=1000)
    for now_s in (5000, 1000, 5000, 1001, 9000):
        bucket.apply([], [], now_s=now_s)
    assert bucket.claims


def test_full_bucket_drops_answers_then_refuses_claims_and_fits_a_store_value() -> None:
    answer = b"x" * claim_bucket.MAX_ANSWER_BYTES
    done = {
        number.to_bytes(12, "big"): make_claim(f"instance-{number}/{10**15}", answer=answer)
        for number in range(3000)
    }
    bucket = claim_bucket.Bucket(done, age_s=100)
    claim_requests = [
        make_claim_request(b"b" + number.to_bytes(11, "big"), f"instance-b/{number}")
        for number in range(9999)
    ]
    bucket.apply(claim_requests, [], now_s=1100)
    refused = [claim_request for claim_request in claim_requests if claim_request.is_bucket_full]
    assert 0 < len(refused) < len(claim_requests)
    assert len(claim_bucket.encode(bucket)) <= 1_000_000
    assert all(claim.answer is None for claim in bucket.claims.values())
    assert len(bucket.claims) == 3000 + len(claim_requests) - len(refused)


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
def test_only_a_request_that_was_not_run_releases_its_claim(
    outcome: model.Response | errors.BronzequayError, state: State | None
) -> None:
    record = claim_bucket.settled_claim(make_claim("a"), outcome)
    assert (record and record.state) == state


def test_answer_too_large_to_store_is_reported_as_an_unknown_outcome() -> None:
    req = fleets.make_request(1, key="k")
    large = model.Response(req.request_id, b"x" * 10_000, ids.ExecutorId("x"))
    claim = claim_bucket.Claim(State.CLAIMED, "a", claim_bucket.body_digest_of(req))
    record = claim_bucket.settled_claim(claim, large)
    assert record is not None
    with pytest.raises(errors.BronzequayError) as caught:
        claim_bucket.replay_outcome(record, req)
    assert caught.value.code is codes.ResultCode.OUTCOME_UNKNOWN


@given(st.tuples(st.text(), st.text(), st.text()), st.tuples(st.text(), st.text(), st.text()))
def test_digests_differ_if_any_part_differs(
    left: tuple[str, str, str], right: tuple[str, str, str]
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
        for org, caller, key in (left, right)
    ]
    assert (digests[0] == digests[1]) == (left == right)
