from __future__ import annotations

import base64

import attrs
import pytest
from gevent import sleep

from filbertlb.core.clock import SystemClock
from filbertlb.messages import JobHint
from filbertlb.messages import Refused
from filbertlb.transport.codec import Envelope
from filbertlb.transport.codec import FrameRefusedError
from filbertlb.transport.codec import KeyInvalidError
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec
from filbertlb.transport.link import open_link
from filbertlb.transport.link import ReplyTimeoutError

OLD = bytes(range(32))
NEW = bytes(reversed(range(32)))
ENVELOPE = Envelope("1", "", "tcp://127.0.0.1:1", 7, JobHint("org", "job"))


def _text(key_id, key):
    return f"{key_id}:{base64.b64encode(key).decode()}"


def test_codec_round_trip_over_key_rotation():
    old = MessageCodec(KeyRing.parse([_text(1, OLD)]))
    both = MessageCodec(KeyRing.parse([_text(2, NEW), _text(1, OLD)]))
    assert both.decode(old.encode(ENVELOPE)) == ENVELOPE
    with pytest.raises(FrameRefusedError):
        old.decode(both.encode(ENVELOPE))


@pytest.mark.parametrize("position", [0, 5, 20, -1])
def test_changed_frame_is_refused(position):
    codec = MessageCodec(KeyRing.parse([_text(1, OLD)]))
    frame = bytearray(codec.encode(ENVELOPE))
    frame[position] ^= 1
    with pytest.raises(FrameRefusedError):
        codec.decode(bytes(frame))


@pytest.mark.parametrize(
    "texts", [[], ["x:AAAA"], ["1:AAAA"], [_text(256, OLD)], ["1:***"]]
)
def test_bad_key_is_refused(texts):
    with pytest.raises(KeyInvalidError):
        KeyRing.parse(texts)


def test_request_reply_and_timeout():
    codec = MessageCodec(KeyRing.parse([_text(1, OLD)]))
    clock = SystemClock()
    with (
        open_link("127.0.0.1", 0, codec, clock) as left,
        open_link("127.0.0.1", 0, codec, clock, lambda: 9) as right,
    ):
        seen = []
        left.on_revision = seen.append

        def answer(envelope):
            hint = envelope.message
            if hint.job_id != "silent":
                right.reply(envelope, Refused(hint.job_id, "no"))

        right.subscribe(JobHint, answer)
        for number in range(100):
            hint = JobHint("org", f"job-{number}")
            got = left.request(right.address, hint, 5.0)
            assert got == attrs.evolve(got, code=hint.job_id)
        assert set(seen) == {9}
        with pytest.raises(ReplyTimeoutError):
            left.request(right.address, JobHint("org", "silent"), 0.05)
        sleep(0)
