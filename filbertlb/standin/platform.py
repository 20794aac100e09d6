"""Stand-in of the platform: table service and object store over HTTP.

Every call is a POST with a JSON body; the classes of bodies and answers
are in ``filbertlb.table.wire`` and ``filbertlb.objects.wire``. Errors
are ``{"code": ..., "message": ...}``.

==========================  ============================================
``/table/get``              one row
``/table/scan``             rows by prefix
``/table/commit``           conditional writes, all or none
``/objects/get``            one object
``/objects/put``            conditional write of an object
``/objects/delete``         delete an object
``/objects/names``          names by prefix
``/admin/table/faults``     sets ``down``, ``delay_s`` and ``lose_acks``
``/admin/objects/faults``   the same for the object store
==========================  ============================================

A lost answer closes the connection after the write.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.objects import wire as objects_wire
from filbertlb.objects.memory import MemoryObjects
from filbertlb.table import wire as table_wire
from filbertlb.table.memory import Faults
from filbertlb.table.memory import MemoryTable
from filbertlb.typedserver import Service
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.typedserver import Handler


def platform_service(
    table: MemoryTable | None = None, objects: MemoryObjects | None = None
) -> Service:
    """Return the stand-in over a table and an object store."""
    table = MemoryTable() if table is None else table
    objects = MemoryObjects() if objects is None else objects
    return Service(
        {
            **_table_handlers(table),
            **_object_handlers(objects),
            "/admin/table/faults": typed(Faults, set_faults(table.faults)),
            "/admin/objects/faults": typed(Faults, set_faults(objects.faults)),
        }
    )


def set_faults(faults: Faults) -> Callable[[Faults], Faults]:
    """Return a function that sets all switches of ``faults``."""

    def replace(new: Faults) -> Faults:
        for name, value in attrs.asdict(new).items():
            setattr(faults, name, value)
        return faults

    return replace


def _table_handlers(table: MemoryTable) -> dict[str, Handler]:
    def get(call: table_wire.GetCall) -> table_wire.GetReply:
        return table_wire.GetReply(table.get(call.key))

    def scan(call: table_wire.ScanCall) -> table_wire.ScanReply:
        rows = table.scan(call.prefix, after=call.after, limit=call.limit)
        return table_wire.ScanReply(tuple(rows))

    def commit(call: table_wire.CommitCall) -> table_wire.CommitReply:
        return table_wire.CommitReply(table.commit(call.writes))

    return {
        "/table/get": typed(table_wire.GetCall, get),
        "/table/scan": typed(table_wire.ScanCall, scan),
        "/table/commit": typed(table_wire.CommitCall, commit),
    }


def _object_handlers(objects: MemoryObjects) -> dict[str, Handler]:
    def get(call: objects_wire.NameCall) -> objects_wire.GetReply:
        return objects_wire.GetReply(objects.get(call.name))

    def put(call: objects_wire.PutCall) -> objects_wire.PutReply:
        version = objects.put(call.name, call.data, call.expected_version)
        return objects_wire.PutReply(version)

    def delete(call: objects_wire.NameCall) -> objects_wire.DeleteReply:
        objects.delete(call.name)
        return objects_wire.DeleteReply()

    def names(call: objects_wire.ListCall) -> objects_wire.ListReply:
        return objects_wire.ListReply(objects.names(call.prefix))

    return {
        "/objects/get": typed(objects_wire.NameCall, get),
        "/objects/put": typed(objects_wire.PutCall, put),
        "/objects/delete": typed(objects_wire.NameCall, delete),
        "/objects/names": typed(objects_wire.ListCall, names),
    }
