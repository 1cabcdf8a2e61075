"""Hosts: the parts of an entry host that inspections read."""

from typing import Protocol

from carobfork.coordination import (
    call_notes,
    control,
    homes,
    journals,
    membership,
    model_calls,
    routing,
    slots,
)
from carobfork.inspections import counted_stores
from carobfork.state import programs
from carobfork.transport import peers, servers


class InspectedHost(Protocol):
    """The parts of an entry host, as the composition root names them."""

    own: routing.EntryHost
    store: counted_stores.CountedStore
    holder: control.BundleHolder
    table: programs.ProgramTable
    members: membership.Membership
    journal: journals.Journal
    broker: slots.LocalSlots
    home: homes.Home
    models: model_calls.ModelCaller
    link: peers.PeerLink
    notes: call_notes.CallNotes
    caller_listener: servers.HttpServer

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
