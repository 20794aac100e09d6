"""Link between a runner and the process on its machine, with its troubles."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress

BLOCK_BYTES = 65_536
FIRST_RETRY_S = 0.2
"""A sender repeats unacknowledged bytes after this time, then twice it..."""


class Link:
    """Forwards connections to an address.

    Attributes
    ----------
    lose_answers : bool
        Reset each connection as its answer comes.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.lose_answers = False
        self._target = target
        self._cut = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Hold up all bytes."""
        self._cut.set()

    def heal(self) -> None:
        """Deliver new bytes at once, and held up ones when repeated."""
        self._cut.clear()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near: socket.socket) -> None:
        if self._cut.is_set():
            # Its opening packet is lost; the client gives up.
            time.sleep(FIRST_RETRY_S)
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            _reset(near)
            return
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self._forward,
                args=(source, sink, source is far),
                daemon=True,
            ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, answers: bool
    ) -> None:
        with suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                if answers and self.lose_answers:
                    _reset(sink)
                    return
                self._await_repetition()
                sink.sendall(data)
            self._await_repetition()
            sink.shutdown(socket.SHUT_WR)

    def _await_repetition(self) -> None:
        """Wait for the first repetition that is not lost, if cut now."""
        pause_s = FIRST_RETRY_S
        while self._cut.is_set():
            time.sleep(pause_s)
            pause_s *= 2


def _reset(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    # Another thread reads from it, so that closing alone ends nothing.
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
    connection.close()
