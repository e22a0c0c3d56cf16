"""Job ids, and the comparison of two submissions under one key."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, errors, ids

if TYPE_CHECKING:
    from bronzequay.policy import model

ID_BYTES = 12
MAX_NAME_BYTES = 200
MAX_SPEC_BYTES = 8_000
NEW_RECORD_BYTES = 1_500


def job_id(spec: model.JobSpec, key: str | None) -> ids.JobId:
    """Name a job: one id for one caller's key, else a random one.

    :param spec: names the organisation and the caller
    :param key: the caller's deduplication key
    :return: the id
    """
    if key is None:
        return ids.JobId("j" + secrets.token_hex(ID_BYTES))
    text = f"{spec.org}\x00{spec.caller}\x00{key}"
    return ids.JobId("j" + hashlib.sha256(text.encode()).hexdigest()[: 2 * ID_BYTES])


def check_sizes(spec: model.JobSpec, key: str | None) -> None:
    """Refuse names that would make a record too large for its bucket.

    :param spec: names the organisation and the caller
    :param key: the caller's deduplication key
    :raises errors.BronzequayError: VALUE_TOO_LARGE
    """
    if len(msgspec.msgpack.encode(spec)) > MAX_SPEC_BYTES:
        message = f"the specification takes more than {MAX_SPEC_BYTES} bytes"
        raise errors.BronzequayError(codes.ResultCode.VALUE_TOO_LARGE, message, field="payload")
    names = {"org": spec.org, "caller": spec.caller, "key": key or ""}
    for field, name in names.items():
        if len(name.encode()) > MAX_NAME_BYTES:
            message = f"longer than {MAX_NAME_BYTES} bytes"
            raise errors.BronzequayError(codes.ResultCode.VALUE_TOO_LARGE, message, field=field)


def record_size(spec: model.JobSpec) -> int:
    """Return an upper bound of a new record's size in bytes."""
    return NEW_RECORD_BYTES + len(msgspec.msgpack.encode(spec))


def check_same(record: model.JobRecord, spec: model.JobSpec) -> None:
    """Refuse a key that was used for another job.

    :param record: the job accepted under the key
    :param spec: the job submitted now
    :raises errors.BronzequayError: KEY_REUSED
    """
    if record.spec != spec:
        message = "the key was used for a job with another specification"
        raise errors.BronzequayError(codes.ResultCode.KEY_REUSED, message, field="key")


__all__ = ["check_same", "check_sizes", "job_id", "record_size"]
