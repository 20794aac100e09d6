"""Storage of configuration revisions in the table service."""

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
from filbertlb.ranges import Count
from filbertlb.table.audit import AuditLog
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import Proof
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from filbertlb.core.clock import Clock
    from filbertlb.core.revisions import ChangePlan
    from filbertlb.core.revisions import ConfigCheck
    from filbertlb.table.base import TableService

HEAD_KEY = "config/head"
REVISION_PREFIX = "config/rev/"
MAX_APPLY_ATTEMPTS = 8
APPLY_ACTION = "config.apply"
ROLLBACK_ACTION = "config.rollback"


class RevisionNotFoundError(NotFoundError):
    """There is no revision with this number."""

    code = "revision_not_found"


class ConfigBusyError(UnavailableError):
    """Every attempt met a concurrent write; nothing was changed."""

    code = "config_busy"


@attrs.frozen
class ConfigHead:
    """Value of the row that holds the number of the latest revision."""

    number: Count


@attrs.frozen
class _PlanInputs:
    """Revisions against which a change request is planned.

    Parameters
    ----------
    head : Revision, optional
        The latest revision.
    version : int
        Version of the head row.
    base : Revision, optional
        The revision that the request is based on.
    """

    head: Revision | None
    version: int
    base: Revision | None


class ConfigurationStore:
    """Configuration revisions of the site.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    clock : Clock
        Source of wall time for revisions and the audit trail.
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
            If there is no revision with this number.
        TableUnavailableError
            If the service does not answer.
        """
        revision = self._read_revision(number)
        if revision is None:
            raise RevisionNotFoundError(
                f"there is no revision {number!r}; the latest is "
                f"{self.head_number()}"
            )
        return revision

    def plan(self, request: ChangeRequest, check: ConfigCheck) -> ChangePlan:
        """Return the effects of a change without applying it.

        Raises
        ------
        RevisionConflictError
            If the head is not the revision that the request is based on.
        TableUnavailableError
            If the service does not answer.
        """
        return self._plan(request, check, self._read_plan_inputs(request))

    def apply(self, request: ChangeRequest, check: ConfigCheck) -> Revision:
        """Apply a change and return the accepted revision.

        A repeated request, recognised by its token, returns the revision
        that it created before. A request that changes nothing returns
        the head. Accepted, conflicting and refused changes are written
        to the audit trail.

        Raises
        ------
        RevisionConflictError
            If the head is not the revision that the request is based on;
            the message shows the changes since.
        ConfigRefusedError
            If a check refused the change.
        ConfigBusyError
            If every attempt met a concurrent write.
        TableUnavailableError
            If the service refused the call; nothing is changed.
        WriteOutcomeUnknownError
            If the change may have been applied; repeat the same request.
        """
        try:
            return self._apply(request, check)
        except RevisionConflictError as error:
            self._record_rejection(request, AuditOutcome.CONFLICT, error)
            raise
        except ConfigRefusedError as error:
            self._record_rejection(request, AuditOutcome.REFUSED, error)
            raise

    def rollback(
        self,
        to: int,
        based_on: int,
        author: str,
        token: str,
        check: ConfigCheck,
    ) -> Revision:
        """Apply the configuration of an earlier revision as a new one.

        Raises
        ------
        RevisionNotFoundError
            If there is no revision with the number ``to``.
        FilbertlbError
            For the same reasons as ``apply``.
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

    def _apply(self, request: ChangeRequest, check: ConfigCheck) -> Revision:
        for _ in range(MAX_APPLY_ATTEMPTS):
            next_revision = self._read_revision(request.based_on + 1)
            if (
                next_revision is not None
                and next_revision.token == request.token
            ):
                return next_revision
            inputs = self._read_plan_inputs(request)
            plan = self._plan(request, check, inputs)
            if plan.problems:
                raise ConfigRefusedError(plan.problems)
            if inputs.head is not None and not plan.changes:
                return inputs.head
            try:
                self._commit_revision(plan, inputs)
            except RowConflictError:
                # Either the configuration was changed or only an audit
                # entry was appended: read the rows again.
                continue
            return plan.revision
        raise ConfigBusyError(
            f"the change was not applied in {MAX_APPLY_ATTEMPTS} attempts "
            "because of concurrent writes; send it again",
            retry_after_s=1.0,
        )

    def _commit_revision(self, plan: ChangePlan, inputs: _PlanInputs) -> None:
        revision = plan.revision
        key = _revision_key(revision.number)
        event = AuditEvent(
            at_s=revision.at_s,
            actor=revision.author,
            action=_action_name(revision.rolled_back_to),
            subject=revision.config.site,
            outcome=AuditOutcome.ACCEPTED,
            from_revision=revision.number - 1,
            to_revision=revision.number,
            detail=render_diff(plan.changes),
        )
        head = encode(ConfigHead(revision.number))
        writes = (
            Write(key, encode(revision), ABSENT),
            Write(HEAD_KEY, head, inputs.version),
            *self.audit.append_writes(event),
        )
        commit_with_read_back(self._table, writes, Proof(key, write_once=True))

    def _plan(
        self, request: ChangeRequest, check: ConfigCheck, inputs: _PlanInputs
    ) -> ChangePlan:
        now_s = self._clock.wall()
        return plan_change(request, inputs.head, inputs.base, now_s, check)

    def _read_plan_inputs(self, request: ChangeRequest) -> _PlanInputs:
        number, version = self._read_head()
        head = None if number == NO_REVISION else self.revision(number)
        if request.based_on == number:
            return _PlanInputs(head, version, head)
        return _PlanInputs(
            head, version, self._read_revision(request.based_on)
        )

    def _read_head(self) -> tuple[int, int]:
        row = self._table.get(HEAD_KEY)
        if row is None:
            return NO_REVISION, ABSENT
        return decode_row(row, ConfigHead).number, row.version

    def _read_revision(self, number: int) -> Revision | None:
        row = self._table.get(_revision_key(number))
        return None if row is None else decode_row(row, Revision)

    def _record_rejection(
        self,
        request: ChangeRequest,
        outcome: AuditOutcome,
        error: FilbertlbError,
    ) -> None:
        """Append a rejected request to the audit trail, if possible."""
        event = AuditEvent(
            at_s=self._clock.wall(),
            actor=request.author,
            action=_action_name(request.rolled_back_to),
            subject=request.config.site,
            outcome=outcome,
            from_revision=request.based_on,
            to_revision=request.based_on,
            detail=error.message,
        )
        try:
            self.audit.record(event)
        except (RowConflictError, UnavailableError, OutcomeUnknownError):
            # The rejection is reported to the caller even if it can't be
            # recorded.
            return


def _revision_key(number: int) -> str:
    return f"{REVISION_PREFIX}{number:08d}"


def _action_name(rolled_back_to: int) -> str:
    return APPLY_ACTION if rolled_back_to == NO_REVISION else ROLLBACK_ACTION
