"""Encoding and sealing of messages between processes.

A frame is one byte of key id, a nonce and the sealed envelope. The
envelope is MessagePack with the message's version, so that a receiver
refuses what it would misread.
"""

from __future__ import annotations

import base64
import os
from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305

from filbertlb import messages
from filbertlb.decoding import convert_value
from filbertlb.decoding import decode_msgpack
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.messages import MESSAGE_VERSION

if TYPE_CHECKING:
    from collections.abc import Iterable

NONCE_BYTES = 12
KEY_BYTES = 32
MAX_KEY_ID = 255

_CLASS_BY_KIND: dict[str, type] = {
    name: value
    for name, value in vars(messages).items()
    if isinstance(value, type)
    and value.__module__ == messages.__name__
    and attrs.has(value)
}


class FrameRefusedError(FilbertlbError):
    """A frame is not from a process of this site or can't be read."""

    code = "frame_refused"
    status = 400


class KeyInvalidError(InvalidInputError):
    """A site key in the settings is malformed."""

    code = "key_invalid"


@attrs.frozen
class Envelope:
    """A message with what is needed to answer it.

    Parameters
    ----------
    message_id : str
        Unique for the sender.
    reply_to : str
        Message id that this message answers; empty for none.
    sender : str
        Address at which the sender listens.
    revision : int
        Highest configuration revision that the sender has seen.
    message : object
        An instance of a class of ``filbertlb.messages``.
    """

    message_id: str
    reply_to: str
    sender: str
    revision: int
    message: Any


@attrs.frozen
class KeyRing:
    """Keys of a site; the first seals and every one opens.

    Parameters
    ----------
    key_by_id : dict of int to bytes
        Keys of ``KEY_BYTES`` bytes by key id (0 to ``MAX_KEY_ID``).
    """

    key_by_id: dict[int, bytes]
    _cipher_by_id: dict[int, ChaCha20Poly1305] = attrs.field(
        init=False, repr=False, eq=False
    )

    @_cipher_by_id.default
    def _make_ciphers(self) -> dict[int, ChaCha20Poly1305]:
        return {
            key_id: ChaCha20Poly1305(key)
            for key_id, key in self.key_by_id.items()
        }

    @classmethod
    def parse(cls, texts: Iterable[str]) -> KeyRing:
        """Build a ring from texts of the form ``ID:BASE64``.

        Raises
        ------
        KeyInvalidError
            If a text is malformed or no text is given.
        """
        key_by_id = dict(_parse_key(text) for text in texts)
        if not key_by_id:
            raise KeyInvalidError(
                "no site key is set; put one 'ID:BASE64' text into 'keys'"
            )
        return cls(key_by_id)

    def seal(self, payload: bytes) -> bytes:
        """Return the payload sealed with the first key."""
        key_id = next(iter(self.key_by_id))
        nonce = os.urandom(NONCE_BYTES)
        head = bytes((key_id,))
        sealed = self._cipher_by_id[key_id].encrypt(nonce, payload, head)
        return head + nonce + sealed

    def open(self, frame: bytes) -> bytes:
        """Return the payload of a frame.

        Raises
        ------
        FrameRefusedError
            If no key of the ring opens it.
        """
        cipher = self._cipher_by_id.get(frame[0]) if frame else None
        if cipher is None:
            raise FrameRefusedError("the frame's key id is not in the ring")
        nonce = frame[1 : 1 + NONCE_BYTES]
        sealed = frame[1 + NONCE_BYTES :]
        try:
            return cipher.decrypt(nonce, sealed, frame[:1])
        except (InvalidTag, ValueError) as error:
            raise FrameRefusedError("the frame is not authentic") from error


def _parse_key(text: str) -> tuple[int, bytes]:
    key_id, _, encoded = text.partition(":")
    mend = "write it as ID:BASE64 with an ID from 0 to 255 and 32 bytes"
    try:
        key = base64.b64decode(encoded, validate=True)
        number = int(key_id)
    except ValueError as error:
        raise KeyInvalidError(f"site key {key_id!r}: {mend}") from error
    if len(key) != KEY_BYTES or not 0 <= number <= MAX_KEY_ID:
        raise KeyInvalidError(f"site key {key_id!r}: {mend}")
    return number, key


@attrs.frozen
class MessageCodec:
    """Turns envelopes into frames and back.

    Parameters
    ----------
    keys : KeyRing
        Keys of the site.
    """

    keys: KeyRing

    def encode(self, envelope: Envelope) -> bytes:
        """Return the sealed frame of an envelope."""
        return self.keys.seal(
            msgspec.msgpack.encode(
                (
                    MESSAGE_VERSION,
                    type(envelope.message).__name__,
                    envelope.message_id,
                    envelope.reply_to,
                    envelope.sender,
                    envelope.revision,
                    envelope.message,
                )
            )
        )

    def decode(self, frame: bytes) -> Envelope:
        """Return the envelope of a frame.

        Raises
        ------
        FrameRefusedError
            If it is not authentic, of another version or malformed.
        """
        payload = self.keys.open(frame)
        try:
            return _decode_payload(payload)
        except (MalformedDataError, ValueError, TypeError) as error:
            raise FrameRefusedError(
                f"the frame can't be decoded: {error}"
            ) from error


def _decode_payload(payload: bytes) -> Envelope:
    version, kind, message_id, reply_to, sender, revision, body = (
        decode_msgpack(payload)
    )
    if version != MESSAGE_VERSION:
        raise FrameRefusedError(
            f"message version {version!r} is not {MESSAGE_VERSION}; "
            "replace the older instance"
        )
    cls = _CLASS_BY_KIND.get(kind)
    if cls is None:
        raise FrameRefusedError(f"unknown message kind {kind!r}")
    message: Any = convert_value(body, cls)
    return Envelope(message_id, reply_to, sender, revision, message)
