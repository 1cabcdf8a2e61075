"""Settings: examples are true, and every problem is reported at once."""

import json
import pathlib
import types
import typing
import unittest

import attrs
import jsonc

from carobfork import composition, exceptions
from carobfork.protocol import documents
from carobfork.state import bundles
from carobfork_standins import engine, platform, service

EXAMPLES = pathlib.Path(__file__).parent.parent / 'settings'
CLASSES = types.MappingProxyType(
    {
        'entry-1': composition.EntrySettings,
        'entry-2': composition.EntrySettings,
        'platform': platform.PlatformSettings,
        'engine-1': engine.EngineSettings,
        'service-1': service.ServiceSettings,
        'bundle': bundles.Bundle,
    }
)

ABRIDGED = frozenset(('entry-2',))


def unshown(kind, samples, path=''):
    """Yield the fields, however deep, that no sample shows."""
    for field in attrs.fields(kind):
        shown = [
            fields[field.name] for fields in samples if field.name in fields
        ]
        if not shown:
            yield f'{path}.{field.name}'
        member = (*typing.get_args(field.type), field.type)[0]
        if attrs.has(member):
            yield from unshown(member, flatten(shown), f'{path}.{field.name}')


def flatten(samples):
    """Return samples with lists replaced by their members."""
    members = []
    for sample in samples:
        members.extend(sample if isinstance(sample, list) else [sample])
    return members


def problems_of(fields, kind=composition.EntrySettings):
    """Return what is reported about a document."""
    try:
        documents.parse(json.dumps(fields), kind, 'file')
    except exceptions.SettingsError as error:
        return error.problems
    return ()


class ExampleTest(unittest.TestCase):
    """The example files are the classes' own description."""

    def test_each_example_loads_and_shows_every_field(self):
        """No example is missing, surplus or behind its class."""
        found = {path.stem for path in EXAMPLES.glob('*.jsonc')}
        self.assertEqual(found, set(CLASSES))
        for name, kind in CLASSES.items():
            with self.subTest(name=name):
                path = EXAMPLES / f'{name}.jsonc'
                documents.load(str(path), kind)
                if name not in ABRIDGED:
                    fields = jsonc.loads(path.read_text())
                    self.assertEqual(list(unshown(kind, [fields])), [])


class ProblemTest(unittest.TestCase):
    """Problems carry their path, the value and what is allowed."""

    def setUp(self):
        """Start from the example."""
        self.fields = jsonc.loads((EXAMPLES / 'entry-1.jsonc').read_text())

    def test_all_problems_are_reported_at_once(self):
        """Six faults of one file are six problems."""
        self.fields['caller_address'] = {'ip': 'localhost', 'port': 70000}
        self.fields['peer_address'] = 'here'
        self.fields['log_format'] = 'xml'
        self.fields['log_formt'] = 'json'
        del self.fields['failure_domain']
        problems = problems_of(self.fields)
        self.assertEqual(len(problems), 6, problems)
        reported = '\n'.join(problems)
        for expected in (
            "file.caller_address.ip: ip is 'localhost', allowed: an IP",
            'file.caller_address.port: port is 70000, allowed: a port from 1',
            "file.peer_address: is 'here', allowed: an object",
            'file.log_format: log_format is \'xml\', allowed: one of "json"',
            "file.failure_domain: field 'failure_domain' is missing",
            'unknown field "log_formt", did you mean "log_format"?',
        ):
            self.assertIn(expected, reported)

    def test_values_are_not_converted(self):
        """Texts are no numbers, numbers no texts, and true is no number."""
        address = self.fields['caller_address']
        for wrong in ('7101', 7101.5, True, None, [7101]):
            with self.subTest(wrong=wrong):
                address['port'] = wrong
                self.assertEqual(len(problems_of(self.fields)), 1)
        address['port'] = 7101
        self.fields['host'] = 5
        self.assertEqual(len(problems_of(self.fields)), 1)

    def test_bundle_structure(self):
        """Shares, budgets, lists and names of a bundle are checked."""
        bundle = jsonc.loads((EXAMPLES / 'bundle.jsonc').read_text())
        bundle['ranks'][0]['share'] = 1.5
        bundle['ranks'][1]['share'] = float('nan')
        bundle['programs'][0]['budget']['tokens'] = 0
        bundle['models'] = {}
        bundle['services'][0]['name'] = '../x'
        bundle['version'] = 0
        problems = problems_of(bundle, bundles.Bundle)
        self.assertEqual(len(problems), 6, problems)

    def test_unreadable_documents(self):
        """Each kind of unreadable text is one clear error."""
        for text in ('', '{', '[' * 100_000, '{"a": 1, "a": 2}', '"text"'):
            with self.subTest(text=text[:9]):
                with self.assertRaises(exceptions.SettingsError) as caught:
                    documents.parse(text, bundles.Bundle, 'file')
                self.assertIn('file', caught.exception.message)
                self.assertEqual(caught.exception.peer, 'file')
