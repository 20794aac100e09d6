"""Commands about tokens."""

from __future__ import annotations

import base64
import secrets

import click

from filbertlb.api.auth import make_token
from filbertlb.cli.context import encode
from filbertlb.transport.codec import KEY_BYTES


@click.group()
def token() -> None:
    """Make tokens and keys for the settings of a site."""


@token.command()
def operator() -> None:
    """Make an operator's token and the hash for the settings."""
    text, record = make_token(None, operator=True)
    digest = f"{record.token_id}:{record.secret_sha256}"
    click.echo(encode({"token": text, "operator_token_hash": digest}))


@token.command()
@click.option("--id", "key_id", default=1, show_default=True)
def site_key(key_id: int) -> None:
    """Make a site key for the links between processes."""
    key = base64.b64encode(secrets.token_bytes(KEY_BYTES)).decode()
    click.echo(encode({"key": f"{key_id}:{key}"}))
