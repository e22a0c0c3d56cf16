"""Job ids, size limits of job records, and reuse of deduplication keys."""

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
NEW_RECORD_OVERHEAD_BYTES = 1_500


def job_id(spec: model.JobSpec, key: str | None) -> ids.JobId:
    """Return the id of a new job: derived from the caller's key if there is one, else random.

    :param spec: specification, with the organisation and the caller
    :param key: the caller's deduplication key
    :return: the id
    """
    if key is None:
        return ids.JobId("j" + secrets.token_hex(ID_BYTES))
    identity = f"{spec.org}\x00{spec.caller}\x00{key}"
    return ids.JobId("j" + hashlib.sha256(identity.encode()).hexdigest()[: 2 * ID_BYTES])


def check_sizes(spec: model.JobSpec, key: str | None) -> None:
    """Check the sizes of a submission, which bound the size of its record in a bucket.

    :param spec: specification of the job
    :param key: the caller's deduplication key
    :raises errors.BronzequayError: VALUE_TOO_LARGE
    """
    if len(msgspec.msgpack.encode(spec)) > MAX_SPEC_BYTES:
        message = f"the job specification is larger than {MAX_SPEC_BYTES} bytes"
        raise errors.BronzequayError(codes.ResultCode.VALUE_TOO_LARGE, message, field="payload")
    names = {"org": spec.org, "caller": spec.caller, "key": key or ""}
    for field, name in names.items():
        if len(name.encode()) > MAX_NAME_BYTES:
            message = f"the value is longer than {MAX_NAME_BYTES} bytes"
            raise errors.BronzequayError(codes.ResultCode.VALUE_TOO_LARGE, message, field=field)


def max_record_bytes(spec: model.JobSpec) -> int:
    """Return an upper bound of a new record's size in bytes."""
    return NEW_RECORD_OVERHEAD_BYTES + len(msgspec.msgpack.encode(spec))


def check_same_spec(record: model.JobRecord, spec: model.JobSpec) -> None:
    """Check that a deduplication key has not been used for a different job.

    :param record: record of the job accepted with the key
    :param spec: specification of the job submitted now
    :raises errors.BronzequayError: KEY_REUSED
    """
    if record.spec != spec:
        message = "the key was already used for a job with a different specification"
        raise errors.BronzequayError(codes.ResultCode.KEY_REUSED, message, field="key")


__all__ = ["check_same_spec", "check_sizes", "job_id", "max_record_bytes"]
