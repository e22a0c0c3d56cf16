"""Numbered result codes, listed in docs/result-codes.md."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ResultCode(enum.IntEnum):
    """Outcome of a request, a job or an operator's command.

    The hundreds digit groups codes by cause: 1 success, 2 caller input, 3 refusal
    (nothing ran), 4 execution, 5 configuration, 6 internal dependencies, 7 settings.
    """

    OK = 100
    ACCEPTED = 101

    MALFORMED_BODY = 200
    UNKNOWN_FIELD = 201
    VALUE_OUT_OF_RANGE = 202
    VALUE_TOO_LARGE = 203
    UNKNOWN_ORG = 204
    UNKNOWN_JOB = 205
    UNKNOWN_SERVICE = 206
    UNSUPPORTED_VERSION = 207
    KEY_REUSED = 208
    UNAUTHENTICATED = 209
    FORBIDDEN = 210
    NOT_FOUND = 211
    METHOD_NOT_ALLOWED = 212
    ILLEGAL_TRANSITION = 213

    QUEUE_FULL = 300
    OVER_SHARE = 301
    DEADLINE_PASSED = 302
    INFEASIBLE = 303
    SHUTTING_DOWN = 304
    NO_EXECUTOR = 305
    RULE_REFUSED = 306
    STORE_UNAVAILABLE = 307
    NO_SCHEDULER = 308

    TASK_FAILED = 400
    WORKER_LOST = 401
    CANCELLED = 402
    IN_DOUBT = 403
    RETRIES_EXHAUSTED = 404
    EXECUTOR_FAILED = 405
    OUTCOME_UNKNOWN = 406
    RECLAIMED = 407
    GANG_INCOMPLETE = 408

    BUNDLE_INVALID = 500
    BUNDLE_CONFLICT = 501
    GUARANTEES_UNMET = 502
    SIGN_OFF_REQUIRED = 503
    BUNDLE_UNKNOWN = 504

    STORE_CONFLICT = 600
    STORE_TIMEOUT = 601
    STORE_BUDGET = 602
    LEASE_LOST = 603
    FENCED = 604
    PEER_TIMEOUT = 605
    WORKER_UNREACHABLE = 606
    INSTANCE_UNREACHABLE = 607
    HISTORY_LOST = 608
    INTERNAL = 699

    SETTING_INVALID = 700
    SETTING_UNKNOWN = 701
    SETTING_MISSING = 702
    ADDRESS_IN_USE = 703


MEANINGS: Mapping[ResultCode, str] = {
    ResultCode.OK: "it finished well",
    ResultCode.ACCEPTED: "accepted, durable, waiting or in progress",
    ResultCode.MALFORMED_BODY: "the body is not valid JSON, or a value has the wrong type",
    ResultCode.UNKNOWN_FIELD: "the body has a field that does not exist",
    ResultCode.VALUE_OUT_OF_RANGE: "a value is outside its range",
    ResultCode.VALUE_TOO_LARGE: "a body or value is larger than allowed",
    ResultCode.UNKNOWN_ORG: "no such organisation in the bundle in force",
    ResultCode.UNKNOWN_JOB: "no such job",
    ResultCode.UNKNOWN_SERVICE: "no executor of that service is known",
    ResultCode.UNSUPPORTED_VERSION: "that version of the API is not served",
    ResultCode.KEY_REUSED: "the deduplication key was used for a different job or request",
    ResultCode.UNAUTHENTICATED: "the token is missing or unknown",
    ResultCode.FORBIDDEN: "the role or the organisation does not allow it",
    ResultCode.NOT_FOUND: "no such path",
    ResultCode.METHOD_NOT_ALLOWED: "the path does not allow that method",
    ResultCode.ILLEGAL_TRANSITION: "the job's state does not allow it",
    ResultCode.QUEUE_FULL: "the organisation's queue is full; nothing ran",
    ResultCode.OVER_SHARE: "the caller has too much waiting; nothing ran",
    ResultCode.DEADLINE_PASSED: "the deadline passed before it could start; nothing ran",
    ResultCode.INFEASIBLE: "it can never run under the bundle and fleet in force",
    ResultCode.SHUTTING_DOWN: "this instance is shutting down; nothing ran, retry on another",
    ResultCode.NO_EXECUTOR: "no executor accepts new work; nothing ran",
    ResultCode.RULE_REFUSED: "a rule of the bundle refuses it; nothing ran",
    ResultCode.STORE_UNAVAILABLE: "the platform's service is down; nothing ran",
    ResultCode.NO_SCHEDULER: "no scheduler is active; nothing was accepted",
    ResultCode.TASK_FAILED: "a task failed",
    ResultCode.WORKER_LOST: "a worker was lost with a member of the gang",
    ResultCode.CANCELLED: "it was cancelled",
    ResultCode.IN_DOUBT: "it is not known whether it ran to its end",
    ResultCode.RETRIES_EXHAUSTED: "it failed as often as it may be tried",
    ResultCode.EXECUTOR_FAILED: "the executor ran the request and the run failed",
    ResultCode.OUTCOME_UNKNOWN: "the request may have run; its answer is lost",
    ResultCode.RECLAIMED: "stopped to give accelerators back, to be started again",
    ResultCode.GANG_INCOMPLETE: "not all members of the gang could be started",
    ResultCode.BUNDLE_INVALID: "the bundle does not pass its checks",
    ResultCode.BUNDLE_CONFLICT: "another version came into force first",
    ResultCode.GUARANTEES_UNMET: "the fleet cannot hold all guarantees together",
    ResultCode.SIGN_OFF_REQUIRED: "a review or a sign-off is missing",
    ResultCode.BUNDLE_UNKNOWN: "no such draft or bundle",
    ResultCode.STORE_CONFLICT: "another writer changed the key first",
    ResultCode.STORE_TIMEOUT: "the platform's service did not answer; the outcome is unknown",
    ResultCode.STORE_BUDGET: "the budget of store calls is used up; the call had no effect",
    ResultCode.LEASE_LOST: "the lease expired or was claimed by another instance",
    ResultCode.FENCED: "a later scheduler has taken over",
    ResultCode.PEER_TIMEOUT: "another instance did not answer",
    ResultCode.WORKER_UNREACHABLE: "a worker did not answer",
    ResultCode.INSTANCE_UNREACHABLE: "no entry instance answered the command line",
    ResultCode.HISTORY_LOST: "the store has compacted the requested changes",
    ResultCode.INTERNAL: "an internal error; the instance's log has the details",
    ResultCode.SETTING_INVALID: "a setting's value is not allowed",
    ResultCode.SETTING_UNKNOWN: "a BRONZEQUAY_ variable names no setting",
    ResultCode.SETTING_MISSING: "a required setting has no value",
    ResultCode.ADDRESS_IN_USE: "the address to listen on is already in use",
}
"""Meaning of each code in plain words; docs/result-codes.md is generated from it."""


__all__ = ["MEANINGS", "ResultCode"]
