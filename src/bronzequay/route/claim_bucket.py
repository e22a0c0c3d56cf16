"""A bucket of claims: one value of the store, read and written as a whole."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.route import model

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 12
BODY_DIGEST_BYTES = 8
RETENTION_S = 600.0
MAX_WRITE_GAP_S = 60.0
MAX_ANSWER_BYTES = 512
ANSWER_RETENTION_WHEN_FULL_S = 60.0
MAX_VALUE_BYTES = 900_000
CLAIM_OVERHEAD_BYTES = 128


class ClaimState(enum.IntEnum):
    """Recorded state of a claimed request."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    UNKNOWN = 3


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """The claim on the key of one request; stored, so the order of the fields is fixed.

    :param owner: id of the request that holds the claim, unique to one attempt to claim
    :param body_digest: digest of the request body
    :param created_age_s: age of the bucket when the claim was made
    :param executor: executor that ran the request; empty before it is done
    :param answer: body of the answer, if at most ``MAX_ANSWER_BYTES``
    """

    state: ClaimState
    owner: str
    body_digest: bytes
    created_age_s: float = 0.0
    executor: str = ""
    answer: bytes | None = None


class ClaimRequest(msgspec.Struct, eq=False):
    """A request for a claim, and its result.

    :param digest: digest of organisation, caller and key
    :param done: set once the result is final; later changes of the other fields have no meaning
    :param existing: the claim that another request holds; none if the claim was granted
    :param is_bucket_full: whether the bucket had no space for the claim
    :param is_store_failed: whether the store could not be reached
    :param is_abandoned: whether nobody waits for the result any more
    """

    digest: bytes
    claim: Claim
    done: trio.Event
    existing: Claim | None = None
    is_bucket_full: bool = False
    is_store_failed: bool = False
    is_abandoned: bool = False


class Settlement(msgspec.Struct, eq=False):
    """The outcome of a request that holds a claim.

    :param claim: record that replaces the claim; none if the request was not run, which
        removes the claim
    """

    digest: bytes
    owner: str
    claim: Claim | None


class Bucket(msgspec.Struct, array_like=True, omit_defaults=True):
    """Claims by digest of organisation, caller and key; stored, so the order of fields is fixed.

    The bucket's age is the sum of the times between its writes, each counted as at most
    ``MAX_WRITE_GAP_S``, so that no claim expires early because the store was down or a clock
    jumped.

    :param age_s: age at the last write
    :param written_s: latest time of any writer, in seconds since the Unix epoch
    """

    claims: dict[bytes, Claim] = msgspec.field(default_factory=dict)
    age_s: float = 0.0
    written_s: float = 0.0

    def apply(
        self,
        claim_requests: Iterable[ClaimRequest],
        settlements: Iterable[Settlement],
        *,
        now_s: float,
    ) -> bool:
        """Apply claim requests and settlements; applying one again has no further effect.

        :param claim_requests: updated in place with their results
        :param now_s: seconds since the Unix epoch
        :return: whether the bucket must be written
        """
        self._advance_age(now_s)
        is_changed = False
        for settlement in settlements:
            is_changed |= self._apply_settlement(settlement)
        size = self._size()
        if size > MAX_VALUE_BYTES // 2:
            self._drop_answers()
            size = self._size()
        for claim_request in claim_requests:
            if self._apply_claim_request(claim_request, size):
                is_changed = True
                size += CLAIM_OVERHEAD_BYTES
        return is_changed

    def _apply_claim_request(self, claim_request: ClaimRequest, size: int) -> bool:
        claim_request.is_bucket_full = False
        claim_request.existing = self.claims.get(claim_request.digest)
        if claim_request.existing is not None:
            if claim_request.existing.owner == claim_request.claim.owner:
                claim_request.existing = None
            return False
        claim_request.is_bucket_full = size + CLAIM_OVERHEAD_BYTES > MAX_VALUE_BYTES
        if claim_request.is_bucket_full:
            return False
        self.claims[claim_request.digest] = msgspec.structs.replace(
            claim_request.claim, created_age_s=self.age_s
        )
        return True

    def _apply_settlement(self, settlement: Settlement) -> bool:
        existing = self.claims.get(settlement.digest)
        if existing is None or existing.owner != settlement.owner:
            return False
        if settlement.claim is None:
            del self.claims[settlement.digest]
            return True
        record = msgspec.structs.replace(settlement.claim, created_age_s=existing.created_age_s)
        self.claims[settlement.digest] = record
        return record != existing

    def _advance_age(self, now_s: float) -> None:
        gap_s = now_s - self.written_s if self.written_s else 0.0
        self.age_s += min(max(0.0, gap_s), MAX_WRITE_GAP_S)
        self.written_s = max(self.written_s, now_s)
        oldest_s = self.age_s - RETENTION_S
        if any(claim.created_age_s < oldest_s for claim in self.claims.values()):
            self.claims = {
                digest: claim
                for digest, claim in self.claims.items()
                if claim.created_age_s >= oldest_s
            }

    def _drop_answers(self) -> None:
        cutoff_s = self.age_s - ANSWER_RETENTION_WHEN_FULL_S
        for digest, claim in self.claims.items():
            if claim.answer is not None and claim.created_age_s < cutoff_s:
                self.claims[digest] = msgspec.structs.replace(claim, answer=None)

    def _size(self) -> int:
        answers = sum(len(claim.answer) for claim in self.claims.values() if claim.answer)
        return len(self.claims) * CLAIM_OVERHEAD_BYTES + answers


def digest_of(req: model.Request) -> bytes:
    """Return the digest of the organisation, caller and key of a request."""
    parts = (req.org, req.caller, req.key or "")
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


def body_digest_of(req: model.Request) -> bytes:
    """Return the digest of the body of a request."""
    return hashlib.sha256(req.body).digest()[:BODY_DIGEST_BYTES]


def decode(value: bytes | None) -> Bucket:
    """Decode the stored value of a bucket; an absent value is an empty bucket."""
    return Bucket() if value is None else msgspec.msgpack.decode(value, type=Bucket)


def encode(bucket: Bucket) -> bytes:
    """Encode a bucket for the store."""
    return msgspec.msgpack.encode(bucket)


def settled_claim(claim: Claim, outcome: model.Response | errors.BronzequayError) -> Claim | None:
    """Return the claim with its outcome, or none if the request was not run.

    :param claim: the claim before the run
    :param outcome: the response or the error that the caller gets
    """
    if isinstance(outcome, model.Response):
        answer = outcome.body if len(outcome.body) <= MAX_ANSWER_BYTES else None
        return msgspec.structs.replace(
            claim, state=ClaimState.DONE, executor=outcome.executor, answer=answer
        )
    if is_not_run(outcome.code):
        return None
    is_failed = outcome.code is codes.ResultCode.EXECUTOR_FAILED
    state = ClaimState.FAILED if is_failed else ClaimState.UNKNOWN
    return msgspec.structs.replace(claim, state=state)


def is_not_run(code: codes.ResultCode) -> bool:
    """Return whether a code means that the request was not run (codes 3xx)."""
    return code // 100 == codes.ResultCode.QUEUE_FULL // 100


def replay_outcome(claim: Claim, req: model.Request) -> model.Response:
    """Return the recorded answer of an earlier request with the same key.

    :raises BronzequayError: KEY_REUSED, EXECUTOR_FAILED or OUTCOME_UNKNOWN
    """
    if claim.body_digest != body_digest_of(req):
        raise errors.BronzequayError(
            codes.ResultCode.KEY_REUSED,
            "the key was already used for a request with another body",
            field="key",
        )
    if claim.state is ClaimState.DONE and claim.answer is not None:
        return model.Response(req.request_id, claim.answer, ids.ExecutorId(claim.executor))
    if claim.state is ClaimState.FAILED:
        raise errors.BronzequayError(
            codes.ResultCode.EXECUTOR_FAILED, "an earlier request with this key ran and failed"
        )
    raise errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, _UNKNOWN_MESSAGES[claim.state])


_UNKNOWN_MESSAGES = {
    ClaimState.CLAIMED: "an earlier request with this key has no outcome yet",
    ClaimState.DONE: "an earlier request with this key ran; its answer was not stored",
    ClaimState.UNKNOWN: "the outcome of an earlier request with this key is not known",
}


__all__ = [
    "Bucket",
    "Claim",
    "ClaimRequest",
    "ClaimState",
    "Settlement",
    "body_digest_of",
    "decode",
    "digest_of",
    "encode",
    "is_not_run",
    "replay_outcome",
    "settled_claim",
]
