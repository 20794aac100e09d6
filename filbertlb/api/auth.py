"""Tokens of callers and operators.

A token reads ``flb_ID_SECRET``. Only the SHA-256 of the secret is kept,
which is enough for secrets of 256 random bits.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

import attrs
import msgspec

from filbertlb.api.calls import Identity
from filbertlb.api.calls import UnauthenticatedError
from filbertlb.errors import UnavailableError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import TableService

TOKEN_PREFIX = "flb"
SECRET_BYTES = 32
ID_BYTES = 6
CACHE_FRESH_S = 5.0
CACHE_STALE_S = 900.0
MAX_CACHED_TOKENS = 10_000


class TokensUnavailableError(UnavailableError):
    """The token can't be checked while the table service is down."""

    code = "tokens_unavailable"


@attrs.frozen
class TokenRecord:
    """What is kept of a token.

    Parameters
    ----------
    token_id : str
        Public part.
    secret_sha256 : str
        Hash of the secret part, hexadecimal.
    organisation_id : str, optional
        Organisation that the token belongs to.
    operator : bool
        Whether the token is an operator's.
    """

    token_id: str
    secret_sha256: str
    organisation_id: str | None = None
    operator: bool = False

    def matches(self, secret: str) -> bool:
        """Tell whether the secret is the token's."""
        digest = hash_secret(secret)
        return hmac.compare_digest(digest, self.secret_sha256)

    @property
    def identity(self) -> Identity:
        """Return who bears the token."""
        return Identity(self.token_id, self.organisation_id, self.operator)


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def make_token(
    organisation_id: str | None, operator: bool = False
) -> tuple[str, TokenRecord]:
    """Return a new token and the record to keep of it."""
    token_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    record = TokenRecord(
        token_id, hash_secret(secret), organisation_id, operator
    )
    return f"{TOKEN_PREFIX}_{token_id}_{secret}", record


def split_token(token: str) -> tuple[str, str]:
    """Return the public and the secret part of a token.

    Raises
    ------
    UnauthenticatedError
        If the text is not a token.
    """
    parts = token.split("_", 2)
    if len(parts) != 3 or parts[0] != TOKEN_PREFIX:
        raise UnauthenticatedError(
            "the token is malformed; send 'Authorization: Bearer TOKEN'"
        )
    return parts[1], parts[2]


@attrs.define
class _Cached:
    record: TokenRecord | None
    read_at_s: float


class TokenStore:
    """Reads tokens from the table service and remembers them shortly.

    A known token stays valid for ``CACHE_STALE_S`` while the table
    service does not answer, so that running callers go on.

    Parameters
    ----------
    table : TableService
        Keeps the records under ``tokens/``.
    clock : Clock
        Source of time.
    operator_record : TokenRecord, optional
        Operator's token from the settings, valid without the table.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        operator_record: TokenRecord | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._operator = operator_record
        self._cached_by_id: dict[str, _Cached] = {}

    def add(self, record: TokenRecord) -> None:
        """Keep a new token's record.

        Raises
        ------
        FilbertlbError
            If the table service did not take it.
        """
        value = msgspec.json.encode(record)
        self._table.commit((Write(_key(record.token_id), value, ABSENT),))

    def authenticate(self, header: str | None) -> Identity:
        """Return who bears the token of an Authorization header.

        Raises
        ------
        UnauthenticatedError
            If there is no valid token.
        TokensUnavailableError
            If the token is not known here and can't be read now.
        """
        scheme, _, token = (header or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise UnauthenticatedError(
                "no token; send 'Authorization: Bearer TOKEN'"
            )
        token_id, secret = split_token(token.strip())
        record = self._record(token_id)
        if record is None or not record.matches(secret):
            raise UnauthenticatedError("the token is not valid")
        return record.identity

    def _record(self, token_id: str) -> TokenRecord | None:
        if self._operator and self._operator.token_id == token_id:
            return self._operator
        cached = self._cached_by_id.get(token_id)
        now_s = self._clock.monotonic()
        if cached and now_s - cached.read_at_s < CACHE_FRESH_S:
            return cached.record
        try:
            row = self._table.get(_key(token_id))
        except TableUnavailableError as error:
            if cached and now_s - cached.read_at_s < CACHE_STALE_S:
                return cached.record
            raise TokensUnavailableError(
                "the token can't be checked now; try again later",
                retry_after_s=CACHE_FRESH_S,
            ) from error
        record = None
        if row is not None:
            record = decode_row(row, TokenRecord)
        self._remember(token_id, _Cached(record, now_s))
        return record

    def _remember(self, token_id: str, cached: _Cached) -> None:
        if len(self._cached_by_id) >= MAX_CACHED_TOKENS:
            oldest = next(iter(self._cached_by_id))
            del self._cached_by_id[oldest]
        self._cached_by_id.pop(token_id, None)
        self._cached_by_id[token_id] = cached


def _key(token_id: str) -> str:
    return f"tokens/{token_id}"
