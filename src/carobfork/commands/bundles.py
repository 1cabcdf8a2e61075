"""Commands that check, sign off and roll bundles."""

import pathlib

import attrs

from carobfork import address_books, exceptions
from carobfork.commands import differences, operations, outputs
from carobfork.coordination import bundle_checks, control, rollouts
from carobfork.protocol import documents, signatures
from carobfork.state import bundles
from carobfork.transport import platforms


class BundleCommands:
    """Check, sign off, roll and compare bundles."""

    def check(self, bundle: str) -> outputs.Report:
        """Check a bundle file and report every problem at once.

        Example: ``carobfork bundle check settings/bundle.jsonc``

        :param bundle: path of the bundle file.
        """
        found = documents.load(bundle, bundles.Bundle)
        bundle_checks.verify(found, bundle)
        return outputs.done(
            f'{bundle} is right, version {found.version}.',
            version=found.version,
        )

    def sign(self, bundle: str, key: str, output: str) -> outputs.Report:
        """Check a bundle and sign it off.

        Example: ``carobfork bundle sign bundle.jsonc operators.key out.json``

        :param bundle: path of the bundle file.
        :param key: path of the private key.
        :param output: path of the signed bundle to write.
        """
        text = documents.read_text(bundle)
        found = documents.parse(text, bundles.Bundle, bundle)
        bundle_checks.verify(found, bundle)
        signed = signatures.sign(text, key)
        _write(output, signed.encode())
        return outputs.done(
            f'Version {found.version} is signed in {output}.',
            version=found.version,
        )

    def roll(self, signed: str, platform: str, key: str) -> outputs.Report:
        """Put a signed bundle in force on all hosts.

        Example: ``carobfork bundle roll signed.json 127.0.0.1:7001 ops.pub``

        :param signed: path of the signed bundle.
        :param platform: address of the platform as ip:port.
        :param key: path of the public key that the hosts check it with.
        """
        envelope = documents.read_text(signed).encode()
        reader = signatures.SignedBundleReader(key)
        store = platforms.HttpObjectStore(address_books.parse_address(platform))
        rolled = rollouts.Rollout(store, reader, envelope).run()
        return outputs.done(
            f'Version {rolled.version} is in force.', version=rolled.version
        )

    def status(self, platform: str, hosts: str = '') -> outputs.Report:
        """Show which version is in force, at the platform and on hosts.

        Example: ``carobfork bundle status 127.0.0.1:7001 127.0.0.2:7102``

        :param platform: address of the platform as ip:port.
        :param hosts: operators' addresses as ip:port, separated by commas.
        """
        version = _bundle_of(_in_force(platform)).version
        addresses = operations.split(hosts) if hosts else []
        states = [_host_status(address) for address in addresses]
        lines = [f'platform {version}']
        lines.extend(
            f'{state.address} {state.version or state.problem}'
            for state in states
        )
        return outputs.Report(
            '\n'.join(lines),
            {
                'version': version,
                'hosts': [attrs.asdict(state) for state in states],
                'everywhere': all(state.version == version for state in states),
            },
        )

    def fetch(self, platform: str, output: str) -> outputs.Report:
        """Write the signed bundle in force to a file.

        Example: ``carobfork bundle fetch 127.0.0.1:7001 in-force.json``

        :param platform: address of the platform as ip:port.
        :param output: path of the file to write.
        """
        envelope = _in_force(platform)
        found = _bundle_of(envelope)
        _write(output, envelope)
        return outputs.done(
            f'Version {found.version} is written to {output}.',
            version=found.version,
        )

    def diff(self, old: str, new: str) -> outputs.Report:
        """Show what changed between two bundles.

        Example: ``carobfork bundle diff in-force.json bundle.jsonc``

        :param old: path of a bundle, signed or not.
        :param new: path of a bundle, signed or not.
        """
        changes = differences.compare(_load_any(old), _load_any(new))
        lines = [
            f'{change["path"]}: {change["old"]} -> {change["new"]}'
            for change in changes
        ]
        text = '\n'.join(lines or ['No differences.'])
        return outputs.Report(text, {'changes': changes})


@attrs.frozen
class _HostStatus:
    """The version on one host, 0 where it could not be asked."""

    address: str
    version: int = 0
    problem: str = ''


def _host_status(address: str) -> _HostStatus:
    try:
        state = operations.ask(address, '/state')
    except exceptions.CarobforkError as error:
        return _HostStatus(address, problem=f'no answer: {error.message}')
    return _HostStatus(address, version=state['bundle_version'])


def _in_force(platform: str) -> bytes:
    store = platforms.HttpObjectStore(address_books.parse_address(platform))
    found = store.fetch(control.BUNDLE_KEY)
    if found is None:
        raise exceptions.NotRunError(
            'no bundle is in force yet', step='fetch bundle', peer='platform'
        )
    return found.body


def _load_any(path: str) -> bundles.Bundle:
    text = documents.read_text(path)
    if signatures.is_signed(text):
        return _bundle_of(text.encode())
    return documents.parse(text, bundles.Bundle, path)


def _bundle_of(envelope: bytes) -> bundles.Bundle:
    signed = signatures.open_envelope(envelope)
    return documents.parse(signed.text, bundles.Bundle, 'the bundle')


def _write(path: str, text: bytes) -> None:
    try:
        pathlib.Path(path).write_bytes(text)
    except OSError as error:
        raise exceptions.SettingsError(
            f'{path} can not be written: {error.strerror}',
            step='write',
            peer=path,
        ) from error
