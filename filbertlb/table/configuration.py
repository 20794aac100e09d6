"""Configuration revisions in the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from msgspec.json import encode

from filbertlb.core.audit import AuditEvent
from filbertlb.core.audit import AuditOutcome
from filbertlb.core.config_diff import render_diff
from filbertlb.core.revisions import ChangeRequest
from filbertlb.core.revisions import ConfigRefusedError
from filbertlb.core.revisions import NO_REVISION
from filbertlb.core.revisions import plan_change
from filbertlb.core.revisions import Revision
from filbertlb.core.revisions import RevisionConflictError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import NotFoundError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.table.audit import AuditLog
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import Proof
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from filbertlb.core.clock import Clock
    from filbertlb.core.revisions import Check
    from filbertlb.core.revisions import Plan
    from filbertlb.table.base import TableService

HEAD_KEY = "config/head"
REVISION_PREFIX = "config/rev/"
APPLY_ATTEMPTS = 8
APPLY = "config.apply"
ROLLBACK = "config.rollback"


class RevisionNotFoundError(NotFoundError):
    """There is no revision of this number."""

    code = "revision_not_found"


class ConfigBusyError(UnavailableError):
    """Other writers were faster every time; nothing was changed."""

    code = "config_busy"


@attrs.frozen
class ConfigHead:
    """Value of the head row."""

    number: int


@attrs.frozen
class _Base:
    """Head and base as one request met them."""

    head: Revision | None
    version: int
    base: Revision | None


class ConfigurationStore:
    """Reads and changes the configuration of the site.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    clock : Clock
        Source of wall time for the audit trail.
    """

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.audit = AuditLog(table)
        self._table = table
        self._clock = clock

    def head_number(self) -> int:
        """Return the number of the latest revision, or NO_REVISION.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        return self._read_head()[0]

    def head(self) -> Revision | None:
        """Return the latest revision, or None.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        number = self.head_number()
        return None if number == NO_REVISION else self.revision(number)

    def revision(self, number: int) -> Revision:
        """Return one revision.

        Raises
        ------
        RevisionNotFoundError
            If there is none of this number.
        TableUnavailableError
            If the service does not answer.
        """
        found = self._find(number)
        if found is None:
            raise RevisionNotFoundError(
                f"there is no revision {number!r}; the latest is "
                f"{self.head_number()}"
            )
        return found

    def plan(self, request: ChangeRequest, check: Check) -> Plan:
        """Return what a change would do, without doing it.

        Raises
        ------
        RevisionConflictError
            If another change came first.
        TableUnavailableError
            If the service does not answer.
        """
        return self._plan(request, check, self._base(request))

    def apply(self, request: ChangeRequest, check: Check) -> Revision:
        """Make a change and return the accepted revision.

        A request that was applied before, by its token, is returned
        again; one that changes nothing returns the head. Accepted,
        conflicting and refused changes are written to the audit trail.

        Raises
        ------
        RevisionConflictError
            If another change came first; the message shows it.
        ConfigRefusedError
            If the change would break what must hold.
        ConfigBusyError
            If other writers were faster every time.
        TableUnavailableError
            If the service refused; nothing is changed.
        WriteOutcomeUnknownError
            If it may have been applied; repeat the same request.
        """
        try:
            return self._apply(request, check)
        except RevisionConflictError as error:
            self._record(request, AuditOutcome.CONFLICT, error)
            raise
        except ConfigRefusedError as error:
            self._record(request, AuditOutcome.REFUSED, error)
            raise

    def rollback(
        self, to: int, based_on: int, author: str, token: str, check: Check
    ) -> Revision:
        """Apply the configuration of an earlier revision as a new one.

        Raises
        ------
        RevisionNotFoundError
            If there is no revision to roll back to.
        FilbertlbError
            As ``apply`` does.
        """
        request = ChangeRequest(
            config=self.revision(to).config,
            based_on=based_on,
            author=author,
            token=token,
            note=f"rollback to {to}",
            rolled_back_to=to,
        )
        return self.apply(request, check)

    def _apply(self, request: ChangeRequest, check: Check) -> Revision:
        for _ in range(APPLY_ATTEMPTS):
            found = self._find(request.based_on + 1)
            if found is not None and found.token == request.token:
                return found
            base = self._base(request)
            plan = self._plan(request, check, base)
            if plan.problems:
                raise ConfigRefusedError(plan.problems)
            if base.head is not None and not plan.changes:
                return base.head
            try:
                self._write(plan, base)
            except RowConflictError:
                # Another change, or only another audit entry: look.
                continue
            return plan.revision
        raise ConfigBusyError(
            f"the change was not made in {APPLY_ATTEMPTS} attempts because "
            "of other writers; send it again",
            retry_after_s=1.0,
        )

    def _write(self, plan: Plan, base: _Base) -> None:
        revision = plan.revision
        key = _revision_key(revision.number)
        event = AuditEvent(
            at_s=revision.at_s,
            actor=revision.author,
            action=_action(revision.rolled_back_to),
            subject=revision.config.site,
            outcome=AuditOutcome.ACCEPTED,
            from_revision=revision.number - 1,
            to_revision=revision.number,
            detail=render_diff(plan.changes),
        )
        head = encode(ConfigHead(revision.number))
        writes = (
            Write(key, encode(revision), ABSENT),
            Write(HEAD_KEY, head, base.version),
            *self.audit.writes(event),
        )
        commit_with_read_back(self._table, writes, Proof(key, write_once=True))

    def _plan(self, request: ChangeRequest, check: Check, base: _Base) -> Plan:
        now_s = self._clock.wall()
        return plan_change(request, base.head, base.base, now_s, check)

    def _base(self, request: ChangeRequest) -> _Base:
        number, version = self._read_head()
        head = None if number == NO_REVISION else self.revision(number)
        if request.based_on == number:
            return _Base(head, version, head)
        return _Base(head, version, self._find(request.based_on))

    def _read_head(self) -> tuple[int, int]:
        row = self._table.get(HEAD_KEY)
        if row is None:
            return NO_REVISION, ABSENT
        return decode_row(row, ConfigHead).number, row.version

    def _find(self, number: int) -> Revision | None:
        row = self._table.get(_revision_key(number))
        return None if row is None else decode_row(row, Revision)

    def _record(
        self,
        request: ChangeRequest,
        outcome: AuditOutcome,
        error: FilbertlbError,
    ) -> None:
        """Write a change that was not made to the trail, if possible."""
        event = AuditEvent(
            at_s=self._clock.wall(),
            actor=request.author,
            action=_action(request.rolled_back_to),
            subject=request.config.site,
            outcome=outcome,
            from_revision=request.based_on,
            to_revision=request.based_on,
            detail=error.message,
        )
        try:
            self.audit.record(event)
        except (RowConflictError, UnavailableError, OutcomeUnknownError):
            # The refusal itself holds without its entry.
            return


def _revision_key(number: int) -> str:
    return f"{REVISION_PREFIX}{number:08d}"


def _action(rolled_back_to: int) -> str:
    return APPLY if rolled_back_to == NO_REVISION else ROLLBACK
