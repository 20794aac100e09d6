"""Labels under which tasks run on a worker.

Agents store nothing on disk, but the worker lists its tasks by label.
The label encodes everything that a restarted agent needs to adopt the
task.
"""

from __future__ import annotations

import base64

import msgspec

from filbertlb.decoding import convert_value
from filbertlb.decoding import decode_msgpack
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus

LABEL_PREFIX = "flb."


class ForeignTaskError(InvalidInputError):
    """A task of the worker was not started by an agent."""

    code = "foreign_task"


def encode_label(status: TaskStatus) -> str:
    """Return the label under which a member is started."""
    packed = msgspec.msgpack.encode(
        (status.token, status.job_id, status.organisation_id, status.needs)
    )
    text = base64.urlsafe_b64encode(packed).decode().rstrip("=")
    return LABEL_PREFIX + text


def decode_label(label: str) -> TaskStatus:
    """Return the member that a label encodes, as running.

    Raises
    ------
    ForeignTaskError
        If the label was not created by ``encode_label``.
    """
    text = label.removeprefix(LABEL_PREFIX)
    padded = text + "=" * (-len(text) % 4)
    try:
        packed = base64.urlsafe_b64decode(padded)
        token, job_id, organisation_id, needs = decode_msgpack(packed)
        return convert_value(
            {
                "token": token,
                "job_id": job_id,
                "organisation_id": organisation_id,
                "phase": TaskPhase.RUNNING.value,
                "needs": needs,
            },
            TaskStatus,
        )
    except (ValueError, TypeError, MalformedDataError) as error:
        raise ForeignTaskError(
            f"task {label[:80]!r} was not started by an agent; stop it on the "
            "worker"
        ) from error
