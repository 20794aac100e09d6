"""HTTP routes of operators: configuration, organisations and audit."""

from __future__ import annotations

import secrets
from collections import deque
from contextlib import suppress
from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING

import attrs

from filbertlb.api.app import Access
from filbertlb.api.app import Route
from filbertlb.api.auth import make_token
from filbertlb.api.calls import json_reply
from filbertlb.core.audit import AuditEvent
from filbertlb.core.audit import AuditOutcome
from filbertlb.core.audit import filter_entries
from filbertlb.core.revisions import ChangeRequest
from filbertlb.core.revisions import NO_REVISION
from filbertlb.core.site import SiteConfig
from filbertlb.core.site_parts import GuaranteeConfig
from filbertlb.core.site_parts import OrganisationConfig
from filbertlb.errors import ConflictError
from filbertlb.errors import NotFoundError
from filbertlb.errors import UnavailableError
from filbertlb.scheduling.dry_run import broken_guarantees

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.api.auth import TokenStore
    from filbertlb.api.calls import Call
    from filbertlb.api.calls import Reply
    from filbertlb.core.clock import Clock
    from filbertlb.core.revisions import Revision
    from filbertlb.entry.configuration import ConfigWatcher

HISTORY_LIMIT = 1000
MAX_REVISION = 99_999_999
TOKEN_BYTES = 8


class OrganisationNotFoundError(NotFoundError):
    """The configuration has no such organisation."""

    code = "organisation_not_found"


class OrganisationExistsError(ConflictError):
    """The configuration has such an organisation already."""

    code = "organisation_exists"


@attrs.frozen
class ChangeBody:
    """Body of ``POST /v1/config``.

    Parameters
    ----------
    config : SiteConfig
        The whole new configuration.
    based_on : int
        Revision that the operator saw; 0 for the first.
    token : str
        Repeated in a retry of the same change; empty for a new one.
    dry_run : bool
        Only tell what the change would do.
    """

    config: SiteConfig
    based_on: int
    token: str = ""
    note: str = ""
    dry_run: bool = False


@attrs.frozen
class RollbackBody:
    """Body of ``POST /v1/config/rollback``."""

    to: int
    based_on: int
    token: str = ""


@attrs.frozen
class OrganisationBody:
    """Body of ``POST /v1/organisations``."""

    organisation_id: str
    guarantees: dict[str, GuaranteeConfig] = attrs.Factory(dict)
    quota_accelerators: int | None = None
    weight: float = 1.0


class OperatorRoutes:
    """Handlers for operators.

    Parameters
    ----------
    watcher : ConfigWatcher
        Configuration in force here and the store of revisions.
    tokens : TokenStore
        Keeps callers' tokens.
    clock : Clock
        Source of wall time for the audit trail.
    in_force : callable
        Returns who runs which revision.
    """

    def __init__(
        self,
        watcher: ConfigWatcher,
        tokens: TokenStore,
        clock: Clock,
        in_force: Callable[[], dict[str, int]],
    ) -> None:
        self._watcher = watcher
        self._store = watcher.store
        self._tokens = tokens
        self._clock = clock
        self._in_force = in_force

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        operator = Access.OPERATOR
        one = "/v1/organisations/<organisation_id>"
        return (
            Route("GET", "/v1/config", operator, self._show),
            Route("POST", "/v1/config", operator, self._apply),
            Route("POST", "/v1/config/rollback", operator, self._rollback),
            Route("GET", "/v1/config/history", operator, self._history),
            Route("GET", "/v1/config/status", operator, self._status),
            Route("GET", "/v1/organisations", operator, self._list),
            Route("POST", "/v1/organisations", operator, self._create),
            Route("GET", one, operator, self._organisation),
            Route("POST", f"{one}/tokens", operator, self._make_token),
            Route("GET", "/v1/audit", operator, self._audit),
        )

    def _show(self, call: Call) -> Reply:
        number = call.whole_number("revision", MAX_REVISION)
        if number:
            return json_reply(self._store.revision(number))
        return json_reply(self._store.head())

    def _apply(self, call: Call) -> Reply:
        body = call.json(ChangeBody)
        request = ChangeRequest(
            body.config,
            body.based_on,
            call.identity.name,
            body.token or _new_token(),
            body.note,
        )
        if body.dry_run:
            plan = self._store.plan(request, broken_guarantees)
            return json_reply(
                {"text": plan.render(), "problems": plan.problems}
            )
        return self._accepted(self._store.apply(request, broken_guarantees))

    def _accepted(self, revision: Revision) -> Reply:
        self._watcher.install(revision)
        return json_reply({"revision": revision.number})

    def _rollback(self, call: Call) -> Reply:
        body = call.json(RollbackBody)
        revision = self._store.rollback(
            body.to,
            body.based_on,
            call.identity.name,
            body.token or _new_token(),
            broken_guarantees,
        )
        return self._accepted(revision)

    def _history(self, call: Call) -> Reply:
        head = self._store.head_number()
        first = max(NO_REVISION, head - HISTORY_LIMIT) + 1
        revisions = [
            self._store.revision(number) for number in range(first, head + 1)
        ]
        return json_reply({"revisions": [_summary(r) for r in revisions]})

    def _status(self, call: Call) -> Reply:
        return json_reply(
            {
                "head": self._store.head_number(),
                "in_force": self._in_force(),
            }
        )

    def _list(self, call: Call) -> Reply:
        names = sorted(self._newest().organisations)
        return json_reply({"organisations": names})

    def _organisation(self, call: Call) -> Reply:
        return json_reply(self._find(call.params["organisation_id"]))

    def _create(self, call: Call) -> Reply:
        body = call.json(OrganisationBody)
        head = self._store.head()
        config = self._watcher.config if head is None else head.config
        if body.organisation_id in config.organisations:
            raise OrganisationExistsError(
                f"organisation {body.organisation_id!r} exists; change it "
                "with 'filbertlb config apply'"
            )
        created = OrganisationConfig(
            body.guarantees, body.quota_accelerators, body.weight
        )
        organisations = {
            **config.organisations,
            body.organisation_id: created,
        }
        request = ChangeRequest(
            attrs.evolve(config, organisations=organisations),
            NO_REVISION if head is None else head.number,
            call.identity.name,
            _new_token(),
            f"create organisation {body.organisation_id}",
        )
        return self._accepted(self._store.apply(request, broken_guarantees))

    def _make_token(self, call: Call) -> Reply:
        organisation_id = call.params["organisation_id"]
        self._find(organisation_id)
        token, record = make_token(organisation_id)
        self._tokens.add(record)
        self._store.audit.record(
            AuditEvent(
                at_s=self._clock.wall(),
                actor=call.identity.name,
                action="token.create",
                subject=organisation_id,
                outcome=AuditOutcome.ACCEPTED,
                detail=record.token_id,
            )
        )
        return json_reply({"token": token}, HTTPStatus.CREATED)

    def _find(self, organisation_id: str) -> OrganisationConfig:
        found = self._newest().organisations.get(organisation_id)
        if found is None:
            raise OrganisationNotFoundError(
                f"there is no organisation {organisation_id!r}; see "
                "'filbertlb organisation list'"
            )
        return found

    def _newest(self) -> SiteConfig:
        """Return the head, or what is in force while the table is down."""
        with suppress(UnavailableError):
            # Another entry may have accepted a revision just now.
            self._watcher.refresh()
        return self._watcher.config

    def _audit(self, call: Call) -> Reply:
        asked = bool(call.whole_number("verify", 1))
        verified = self._store.audit.verify() if asked else None
        entries = filter_entries(
            self._store.audit.entries(),
            actor=call.query.get("actor"),
            action=call.query.get("action"),
        )
        found = deque(entries, maxlen=HISTORY_LIMIT)
        return json_reply({"verified": verified, "entries": list(found)})


def _summary(revision: Revision) -> dict[str, Any]:
    return attrs.asdict(
        revision, filter=attrs.filters.exclude("config", "token")
    )


def _new_token() -> str:
    return secrets.token_hex(TOKEN_BYTES)
