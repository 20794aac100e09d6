"""Commands about tokens and keys; their output is fit for settings."""

from __future__ import annotations

import base64
import secrets
from pathlib import Path

import click

from filbertlb.api.auth import make_token
from filbertlb.cli.context import Context
from filbertlb.cli.context import encode
from filbertlb.cli.context import pass_context
from filbertlb.transport.codec import KEY_BYTES


@click.group()
def token() -> None:
    """Make tokens and keys for the settings of a site."""


@token.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    default=None,
    help="Write the hash into this new settings file; print the token only.",
)
@pass_context
def operator(context: Context, path: Path | None) -> None:
    """Make an operator's token and the hash for the settings."""
    text, record = make_token(None, operator=True)
    digest = f"{record.token_id}:{record.secret_sha256}"
    settings = {"operator_token_hash": digest}
    value = {"token": text, **settings}
    if path is None:
        click.echo(encode(value))
        return
    try:
        # A file that holds other settings must not be lost.
        with path.open("x", encoding="utf-8") as file:
            file.write(f"{encode(settings)}\n")
    except OSError as error:
        raise click.UsageError(f"{path}: {error.strerror}") from error
    context.show(value, text)


@token.command()
@click.option("--id", "key_id", default=1, show_default=True)
def site_key(key_id: int) -> None:
    """Make a site key for the links between processes.

    The output is a settings file: keep it where only the processes can
    read it.
    """
    key = base64.b64encode(secrets.token_bytes(KEY_BYTES)).decode()
    click.echo(encode({"keys": [f"{key_id}:{key}"]}))
