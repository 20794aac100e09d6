"""A process's link to the others: one inbox, one outbox a peer.

The inbox is a pull socket that this process listens on; an outbox is a
push socket dialled to a peer's inbox. Delivery is not guaranteed:
callers repeat what matters and receivers are idempotent.
"""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from itertools import count
from typing import Any
from typing import TYPE_CHECKING

import attrs
import pynng
from gevent import sleep
from gevent import spawn
from gevent import Timeout
from gevent.event import AsyncResult
from gevent.queue import Full
from gevent.queue import Queue
from gevent.socket import wait_read
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.transport.codec import Envelope
from filbertlb.transport.codec import FrameRefusedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from gevent import Greenlet

    from filbertlb.core.clock import Clock
    from filbertlb.transport.codec import MessageCodec

OUTBOX_FRAMES = 1024
MAX_FRAME_BYTES = 8 * 1024 * 1024
FRAME_LIFETIME_S = 5.0
IDLE_OUTBOX_S = 60.0
SWEEP_PERIOD_S = 10.0
FLUSH_POLL_S = 0.01


class ReplyTimeoutError(OutcomeUnknownError):
    """A peer did not answer in time; it may have acted."""

    code = "reply_timeout"


class OutboxFullError(FilbertlbError):
    """A peer takes frames more slowly than they are sent."""

    code = "outbox_full"
    status = 503


@attrs.define
class Traffic:
    """Counters of a link, in frames and bytes."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    frames_refused: int = 0
    frames_dropped: int = 0


@attrs.frozen
class _Expected:
    on_reply: Callable[[Any], None]
    until_s: float


@attrs.define
class _Outbox:
    socket: Any
    queue: Queue
    last_used_s: float
    task: Greenlet | None = None


class Link:
    """Sends, receives and matches messages.

    Parameters
    ----------
    socket : pynng.Pull0
        Listening inbox, owned by the link.
    address : str
        Address that peers dial.
    codec : MessageCodec
        Seals and opens frames.
    clock : Clock
        Source of time.
    revision : callable
        Returns the highest configuration revision seen here.
    """

    def __init__(
        self,
        socket: Any,
        address: str,
        codec: MessageCodec,
        clock: Clock,
        revision: Callable[[], int],
    ) -> None:
        self.address = address
        self.traffic = Traffic()
        self.on_revision: Callable[[int], None] = lambda revision: None
        self._socket = socket
        self._codec = codec
        self._clock = clock
        self._revision = revision
        self._prefix = secrets.token_hex(4)
        self._numbers = count()
        self._handler_by_class: dict[type, Callable[[Envelope], None]] = {}
        self._expected_by_id: dict[str, _Expected] = {}
        self._outbox_by_address: dict[str, _Outbox] = {}
        self._tasks = [spawn(self._receive_loop), spawn(self._sweep_loop)]

    def subscribe(
        self, cls: type, handler: Callable[[Envelope], None]
    ) -> None:
        """Pass messages of a class to a handler that must not block."""
        self._handler_by_class[cls] = handler

    def send(self, address: str, message: Any, reply_to: str = "") -> str:
        """Queue a message for a peer and return its message id.

        Raises
        ------
        OutboxFullError
            If the peer's outbox is full; the message was not sent.
        """
        message_id = f"{self._prefix}{next(self._numbers):x}"
        envelope = Envelope(
            message_id, reply_to, self.address, self._revision(), message
        )
        outbox = self._outbox(address)
        frame = self._codec.encode(envelope)
        try:
            outbox.queue.put_nowait((self._clock.monotonic(), frame))
        except Full:
            self.traffic.frames_dropped += 1
            raise OutboxFullError(
                f"peer {address!r} has {OUTBOX_FRAMES} frames waiting"
            ) from None
        return message_id

    def reply(self, envelope: Envelope, message: Any) -> None:
        """Answer a received message; a lost answer is not an error."""
        try:
            self.send(envelope.sender, message, envelope.message_id)
        except OutboxFullError as error:
            logger.warning("reply dropped: {}", error.message)

    def request(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message and wait for its answer.

        Raises
        ------
        ReplyTimeoutError
            If no answer came within ``timeout_s`` seconds.
        OutboxFullError
            If the message was not sent.
        """
        result = AsyncResult()
        message_id = self.ask(address, message, result.set, timeout_s)
        try:
            with Timeout(timeout_s):
                return result.get()
        except Timeout:
            raise ReplyTimeoutError(
                f"no answer from {address!r} in {timeout_s} s"
            ) from None
        finally:
            self._expected_by_id.pop(message_id, None)

    def ask(
        self,
        address: str,
        message: Any,
        on_reply: Callable[[Any], None],
        within_s: float,
    ) -> str:
        """Send a message and pass its answer on, if one comes.

        Parameters
        ----------
        on_reply : callable
            Takes the answer; must not block.
        within_s : float
            Time after which an answer is ignored, in seconds.

        Raises
        ------
        OutboxFullError
            If the message was not sent.
        """
        message_id = self.send(address, message)
        until_s = self._clock.monotonic() + within_s
        self._expected_by_id[message_id] = _Expected(on_reply, until_s)
        return message_id

    def close(self) -> None:
        """Stop all tasks and close all sockets."""
        for task in self._tasks:
            task.kill()
        for address in list(self._outbox_by_address):
            self._drop_outbox(address)
        self._socket.close()

    def flush(self, timeout_s: float) -> None:
        """Wait until the outboxes are empty, at most ``timeout_s``."""
        deadline_s = self._clock.monotonic() + timeout_s
        while self._waiting() and self._clock.monotonic() < deadline_s:
            sleep(FLUSH_POLL_S)

    def _waiting(self) -> bool:
        return any(
            not outbox.queue.empty()
            for outbox in self._outbox_by_address.values()
        )

    def _receive_loop(self) -> None:
        while True:
            wait_read(self._socket.recv_fd)
            self._receive_ready()

    def _receive_ready(self) -> None:
        while True:
            try:
                frame = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self.traffic.frames_in += 1
            self.traffic.bytes_in += len(frame)
            self._take(frame)

    def _take(self, frame: bytes) -> None:
        try:
            envelope = self._codec.decode(frame)
        except FrameRefusedError as error:
            self.traffic.frames_refused += 1
            logger.warning("frame refused: {}", error.message)
            return
        self.on_revision(envelope.revision)
        if envelope.reply_to:
            expected = self._expected_by_id.pop(envelope.reply_to, None)
            if expected is not None:
                expected.on_reply(envelope.message)
            return
        handler = self._handler_by_class.get(type(envelope.message))
        if handler is not None:
            handler(envelope)

    def _outbox(self, address: str) -> _Outbox:
        outbox = self._outbox_by_address.get(address)
        now_s = self._clock.monotonic()
        if outbox is None:
            socket = pynng.Push0()
            socket.dial(address, block=False)
            outbox = _Outbox(socket, Queue(OUTBOX_FRAMES), now_s)
            outbox.task = spawn(self._send_loop, outbox)
            self._outbox_by_address[address] = outbox
        outbox.last_used_s = now_s
        return outbox

    def _send_loop(self, outbox: _Outbox) -> None:
        while True:
            queued_s, frame = outbox.queue.get()
            self._send_frame(outbox, queued_s, frame)

    def _send_frame(
        self, outbox: _Outbox, queued_s: float, frame: bytes
    ) -> None:
        deadline_s = queued_s + FRAME_LIFETIME_S
        while True:
            left_s = deadline_s - self._clock.monotonic()
            if left_s <= 0:
                self.traffic.frames_dropped += 1
                return
            try:
                outbox.socket.send(frame, block=False)
            except pynng.TryAgain:
                with Timeout(left_s, False):
                    wait_read(outbox.socket.send_fd)
                continue
            self.traffic.frames_out += 1
            self.traffic.bytes_out += len(frame)
            return

    def _sweep_loop(self) -> None:
        while True:
            sleep(SWEEP_PERIOD_S)
            self._sweep(self._clock.monotonic())

    def _sweep(self, now_s: float) -> None:
        for address, outbox in list(self._outbox_by_address.items()):
            is_idle = outbox.last_used_s < now_s - IDLE_OUTBOX_S
            if is_idle and outbox.queue.empty():
                self._drop_outbox(address)
        late = [
            message_id
            for message_id, expected in self._expected_by_id.items()
            if expected.until_s < now_s
        ]
        for message_id in late:
            del self._expected_by_id[message_id]

    def _drop_outbox(self, address: str) -> None:
        outbox = self._outbox_by_address.pop(address)
        if outbox.task is not None:
            outbox.task.kill()
        outbox.socket.close()


@contextmanager
def open_link(
    host: str,
    port: int,
    codec: MessageCodec,
    clock: Clock,
    revision: Callable[[], int] = lambda: 0,
) -> Iterator[Link]:
    """Listen at an IP address and yield the link.

    Parameters
    ----------
    host : str
        IP address of this process.
    port : int
        TCP port; 0 lets the system choose.
    codec : MessageCodec
        Seals and opens frames.
    clock : Clock
        Source of time.
    revision : callable, optional
        Returns the highest configuration revision seen here.
    """
    socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
    listener = socket.listen(f"tcp://{host}:{port}")
    address = f"tcp://{listener.local_address}"
    link = Link(socket, address, codec, clock, revision)
    try:
        yield link
    finally:
        link.close()
