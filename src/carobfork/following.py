"""Following: wires the ways by which control objects reach a host."""

from collections.abc import Callable

from carobfork.coordination import bundle_peers, control, ports
from carobfork.protocol import signatures


class Following:
    """Follow the bundle, the host list and the list of backend servers.

    :param store: the platform's object API.
    :param link: asks peers for the bundle.
    :param holder: holds the bundle in force.
    :param directory: where hosts go.
    :param public_key_file: checks bundles' signatures.
    :param apply_backend_list: takes the list of backend servers.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        link: ports.PeerLink,
        holder: control.BundleHolder,
        directory: control.HostDirectory,
        public_key_file: str,
        apply_backend_list: Callable[[bytes], None],
    ) -> None:
        """Build the parts; their loops are started by the root."""
        reader = signatures.SignedBundleReader(public_key_file)
        gate = control.BundleGate(reader, holder)
        self.peers = bundle_peers.BundlePeers(link, holder, gate)
        self.watch = control.ControlWatch(
            store,
            directory,
            {
                control.BUNDLE_KEY: gate.offer,
                control.BACKENDS_KEY: apply_backend_list,
            },
        )
