"""Exceptions that carry a numbered result code."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzequay import codes


class BronzequayError(Exception):
    """Expected error, shown to a caller or operator as one line.

    :param code: the numbered result code
    :param message: one sentence that says what happened
    :param field: the invalid input field, if any
    :param retry_after_s: seconds after which a retry may succeed, if known
    """

    def __init__(
        self,
        code: codes.ResultCode,
        message: str,
        *,
        field: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.field = field
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        """Return the code's number and name, the field and the message."""
        field_text = f" ({self.field})" if self.field else ""
        return f"{self.code.value} {self.code.name}{field_text}: {self.message}"


__all__ = ["BronzequayError"]
