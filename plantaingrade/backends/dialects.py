"""Select the adapter for a vendor's dialect."""

from plantaingrade.backends import status_dialect, text_dialect
from plantaingrade.backends.const import DIALECT_STATUS, DIALECT_TEXT
from plantaingrade.backends.entity import (
    Dialect,
    Report,
    ResponseKind,
    StatusDialect,
    TextDialect,
)

DIALECT_BY_NAME: dict[str, Dialect] = {
    DIALECT_STATUS: StatusDialect(),
    DIALECT_TEXT: TextDialect(),
}


def read_report(dialect: Dialect, body: bytes) -> Report:
    """Return a health report in the form common to all dialects.

    Raises:
        ValueError: the body is not a report of this dialect.
    """
    match dialect:
        case StatusDialect():
            return status_dialect.read_report(body)
        case TextDialect():
            return text_dialect.read_report(body)


def classify_response(
    dialect: Dialect,
    status: int,
    headers: dict[bytes, bytes],
) -> ResponseKind:
    """Return what status and headers prove about whether a request ran."""
    match dialect:
        case StatusDialect():
            return status_dialect.classify_response(status, headers)
        case TextDialect():
            return text_dialect.classify_response(status, headers)
