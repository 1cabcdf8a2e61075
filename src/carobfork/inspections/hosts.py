"""Hosts: the parts of an entry host that inspections read."""

from typing import Protocol

from carobfork import recording
from carobfork.coordination import (
    call_logs,
    control,
    homes,
    membership,
    model_calls,
    pool_hosts,
)
from carobfork.inspections import counted_stores
from carobfork.state import programs
from carobfork.transport import peers, servers


class InspectedHost(Protocol):
    """The parts of an entry host, as the composition root names them."""

    store: counted_stores.CountedStore
    holder: control.BundleHolder
    table: programs.ProgramTable
    members: membership.Membership
    recording: recording.Recording
    pool_host: pool_hosts.PoolHost
    home: homes.Home
    models: model_calls.ModelCaller
    link: peers.PeerLink
    notes: call_logs.CallLog
    caller_listener: servers.HttpServer
    is_listening: bool

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
