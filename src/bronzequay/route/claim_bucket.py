"""Claims of one bucket: one value of the store, changed as a whole."""

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
KEEP_S = 600.0
MAX_GAP_S = 60.0
MAX_ANSWER_BYTES = 512
KEEP_ANSWERS_WHEN_FULL_S = 60.0
MAX_VALUE_BYTES = 900_000
CLAIM_OVERHEAD_BYTES = 128


class ClaimState(enum.IntEnum):
    """What is recorded of a claimed request."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    UNKNOWN = 3


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """One claimed request.

    :param owner: names the send that holds the claim
    :param made_s: the bucket's age when it was made
    :param body: digest of the caller's bytes
    :param answer: the answer's bytes, if they are few
    """

    state: ClaimState
    owner: str
    body: bytes
    made_s: float = 0.0
    executor: str = ""
    answer: bytes | None = None


class Ask(msgspec.Struct, eq=False):
    """A send that wants a claim.

    :param done: set once it is told; later changes of the other fields mean nothing
    :param held: the claim in its way; none when it was given
    :param is_full: whether there was no room
    :param is_failed: whether the store could not be reached
    """

    digest: bytes
    claim: Claim
    done: trio.Event
    held: Claim | None = None
    is_full: bool = False
    is_failed: bool = False
    is_given_up: bool = False


class Settlement(msgspec.Struct, eq=False):
    """The outcome of a send that holds a claim.

    :param claim: what to record; none when the request was not run
    """

    digest: bytes
    owner: str
    claim: Claim | None


class Bucket(msgspec.Struct, array_like=True, omit_defaults=True):
    """Claims by digest of organisation, caller and key.

    The bucket's age is the time between its writes, of which no gap counts for more than
    ``MAX_GAP_S``: a claim is not forgotten because the store was down or a clock leapt.

    :param age_s: age at the last write
    :param written_s: the latest clock of any writer, in seconds since the Unix epoch
    """

    claims: dict[bytes, Claim] = msgspec.field(default_factory=dict)
    age_s: float = 0.0
    written_s: float = 0.0

    def apply(
        self, asks: Iterable[Ask], settlements: Iterable[Settlement], *, now_s: float
    ) -> bool:
        """Apply changes; each may have been applied before.

        :param asks: changed in place to what they were told
        :param now_s: seconds since the Unix epoch
        :return: whether the bucket must be written
        """
        self._grow_older(now_s)
        is_changed = False
        for settlement in settlements:
            is_changed |= self._settle(settlement)
        size = self._size()
        if size > MAX_VALUE_BYTES // 2:
            self._drop_answers()
            size = self._size()
        for ask in asks:
            if self._ask(ask, size):
                is_changed = True
                size += CLAIM_OVERHEAD_BYTES
        return is_changed

    def _ask(self, ask: Ask, size: int) -> bool:
        ask.is_full = False
        ask.held = self.claims.get(ask.digest)
        if ask.held is not None:
            if ask.held.owner == ask.claim.owner:
                ask.held = None
            return False
        ask.is_full = size + CLAIM_OVERHEAD_BYTES > MAX_VALUE_BYTES
        if ask.is_full:
            return False
        self.claims[ask.digest] = msgspec.structs.replace(ask.claim, made_s=self.age_s)
        return True

    def _settle(self, settlement: Settlement) -> bool:
        held = self.claims.get(settlement.digest)
        if held is None or held.owner != settlement.owner:
            return False
        if settlement.claim is None:
            del self.claims[settlement.digest]
            return True
        record = msgspec.structs.replace(settlement.claim, made_s=held.made_s)
        self.claims[settlement.digest] = record
        return record != held

    def _grow_older(self, now_s: float) -> None:
        gap_s = now_s - self.written_s if self.written_s else 0.0
        self.age_s += min(max(0.0, gap_s), MAX_GAP_S)
        self.written_s = max(self.written_s, now_s)
        oldest_s = self.age_s - KEEP_S
        if any(claim.made_s < oldest_s for claim in self.claims.values()):
            self.claims = {
                digest: claim for digest, claim in self.claims.items() if claim.made_s >= oldest_s
            }

    def _drop_answers(self) -> None:
        newest_s = self.age_s - KEEP_ANSWERS_WHEN_FULL_S
        for digest, claim in self.claims.items():
            if claim.answer is not None and claim.made_s < newest_s:
                self.claims[digest] = msgspec.structs.replace(claim, answer=None)

    def _size(self) -> int:
        answers = sum(len(claim.answer) for claim in self.claims.values() if claim.answer)
        return len(self.claims) * CLAIM_OVERHEAD_BYTES + answers


def digest_of(req: model.Request) -> bytes:
    """Return the digest of a request's organisation, caller and key."""
    parts = (req.org, req.caller, req.key or "")
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


def body_digest_of(req: model.Request) -> bytes:
    """Return the digest of a request's bytes."""
    return hashlib.sha256(req.body).digest()[:BODY_DIGEST_BYTES]


def decode(value: bytes | None) -> Bucket:
    """Read a bucket's value; an absent one is empty."""
    return Bucket() if value is None else msgspec.msgpack.decode(value, type=Bucket)


def encode(bucket: Bucket) -> bytes:
    """Return a bucket's value."""
    return msgspec.msgpack.encode(bucket)


def settled(claim: Claim, outcome: model.Response | errors.BronzequayError) -> Claim | None:
    """Return the record of an outcome, or none when nothing ran.

    :param claim: the claim as it was made
    :param outcome: the answer or what the caller was told
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
    """Return whether a code says that nothing ran."""
    return code // 100 == codes.ResultCode.QUEUE_FULL // 100


def recall(claim: Claim, req: model.Request) -> model.Response:
    """Answer a later send from the record of the first one.

    :raises BronzequayError: KEY_REUSED, EXECUTOR_FAILED or OUTCOME_UNKNOWN
    """
    if claim.body != body_digest_of(req):
        raise errors.BronzequayError(
            codes.ResultCode.KEY_REUSED, "the key was used for another request", field="key"
        )
    if claim.state is ClaimState.DONE and claim.answer is not None:
        return model.Response(req.request_id, claim.answer, ids.ExecutorId(claim.executor))
    if claim.state is ClaimState.FAILED:
        raise errors.BronzequayError(
            codes.ResultCode.EXECUTOR_FAILED, "the run of an earlier send with this key failed"
        )
    raise errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, _UNKNOWN[claim.state])


_UNKNOWN = {
    ClaimState.CLAIMED: "an earlier send with this key has no outcome yet",
    ClaimState.DONE: "an earlier send with this key ran; its answer was not kept",
    ClaimState.UNKNOWN: "the outcome of an earlier send with this key is not known",
}


__all__ = [
    "Ask",
    "Bucket",
    "Claim",
    "ClaimState",
    "Settlement",
    "body_digest_of",
    "decode",
    "digest_of",
    "encode",
    "is_not_run",
    "recall",
    "settled",
]
