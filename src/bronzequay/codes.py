"""Numbered result codes; docs/result-codes.md tables them."""

from __future__ import annotations

import enum


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
    INTERNAL = 699

    SETTING_INVALID = 700
    SETTING_UNKNOWN = 701
    SETTING_MISSING = 702
    ADDRESS_IN_USE = 703


__all__ = ["ResultCode"]
