"""The command line refuses what it can't do before it does anything."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from carobfork.commands import main
from carobfork.protocol import documents
from carobfork_standins import layouts


def run(*words):
    """Run a command line; return code, output and errors."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.run(words)
    return code, out.getvalue(), err.getvalue()


class CommandTest(unittest.TestCase):
    """Arguments, exit codes and outputs."""

    def setUp(self):
        """Work in a folder that goes away."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def path(self, name):
        """Return the path of a file in the folder."""
        return str(self.folder / name)

    def write_bundle(self, name, **changes):
        """Write a bundle file with changed fields."""
        fields = documents.to_fields(layouts.Layout().bundle())
        path = self.folder / name
        path.write_text(json.dumps({**fields, **changes}))
        return str(path)

    def test_unknown_flag_is_refused_before_anything_happens(self):
        """Nothing is written where a flag is unknown."""
        code, _, err = run(
            'keys', 'make', self.path('a'), self.path('b'), '--typo', 'x'
        )
        self.assertEqual(code, 2)
        self.assertIn('no flag --typo', err)
        self.assertEqual(list(self.folder.iterdir()), [])

    def test_wrong_arguments_are_refused_before_anything_happens(self):
        """Missing, surplus, doubled and empty arguments are usage errors."""
        one, two = self.path('a'), self.path('b')
        for words in (
            ('keys', 'make', one),
            ('keys', 'make', one, two, 'c'),
            ('keys', 'make', one, two, '--public', two),
            ('keys', 'make', one, '--public'),
            ('keys', 'make', one, two, '-'),
            ('keys', 'make', one, two, '--', '--interactive'),
            ('keys', 'mak', one, two),
            ('keys', 'make', '--publik=x', one),
        ):
            with self.subTest(words=words[1:]):
                code, out, err = run(*words)
                self.assertEqual(code, 2)
                self.assertIn('do: see --help', err)
                self.assertNotIn('Traceback', err)
                self.assertEqual(out, '')
        self.assertEqual(list(self.folder.iterdir()), [])

    def test_identifiers_stay_texts(self):
        """What looks like a number, list or text in quotes is a path."""
        for name in ('1e5', '[1]', '0x10', 'True', "'a'", '1_000'):
            with self.subTest(name=name):
                code, out, _ = run(
                    'keys', 'make-peers', f'{self.folder}/{name}'
                )
                self.assertEqual(code, 0)
                self.assertTrue((self.folder / name).exists())
                _, _, err = run('settings', 'check', name)
                self.assertIn(f'{name} can not be read', err)

    def test_help_shows_an_example(self):
        """Every command's help has an example and runs nothing."""
        for words in (
            ('keys', 'make'),
            ('keys', 'make-peers'),
            ('keys', 'show'),
            ('bundle', 'check'),
            ('bundle', 'sign'),
            ('bundle', 'roll'),
            ('bundle', 'status'),
            ('bundle', 'fetch'),
            ('bundle', 'diff'),
            ('entry', 'run'),
            ('settings', 'check'),
            ('state', 'dump'),
            ('program', 'show'),
            ('program', 'abort'),
            ('host', 'drain'),
            ('bench', 'policies'),
            ('bench', 'capacity'),
            ('explain',),
        ):
            with self.subTest(words=words):
                code, out, err = run(*words, '--help')
                self.assertEqual(code, 0)
                self.assertIn('Example: ``carobfork ', out + err)

    def test_exit_codes_differ_by_class(self):
        """A bad file, an absent peer and a wrong word differ."""
        absent = '127.0.0.1:1'
        self.assertEqual(run('bundle', 'check', self.path('none'))[0], 3)
        self.assertEqual(run('bundle', 'status', absent)[0], 6)
        self.assertEqual(run('state', 'dump', absent)[0], 6)
        self.assertEqual(run('state', 'dump', 'host')[0], 3)
        self.assertEqual(run('state')[0], 0)
        self.assertEqual(run('stat', 'dump')[0], 2)

    def test_json_output_and_errors(self):
        """Scripts get one JSON object a command, errors as well."""
        path = self.write_bundle('bundle.jsonc')
        code, out, _ = run('bundle', 'check', path, '--json')
        self.assertEqual((code, json.loads(out)['version']), (0, 1))
        code, _, err = run('--json', 'bundle', 'check', self.path('none'))
        self.assertEqual(code, 3)
        self.assertEqual(json.loads(err)['error']['code'], 'bad_settings')

    def test_keys_of_a_pair_have_one_fingerprint(self):
        """Show tells a key by its fingerprint and never prints it."""
        private, public = self.path('a'), self.path('b')
        _, out, _ = run('keys', 'make', private, public, '--json')
        shown = [run('keys', 'show', path)[1] for path in (private, public)]
        self.assertEqual(shown[0], shown[1])
        self.assertEqual(json.loads(out)['fingerprint'], shown[0].strip())
        (self.folder / 'a').chmod(0o644)
        code, _, err = run('keys', 'show', private)
        self.assertEqual(code, 3)
        self.assertIn('chmod 600', err)

    def test_signed_bundle_and_differences(self):
        """A signed bundle is compared with a later one, field by field."""
        run('keys', 'make', self.path('a'), self.path('b'))
        old = self.write_bundle('old.jsonc')
        new = self.write_bundle('new.jsonc', version=2, services=[])
        code, _, err = run(
            'bundle', 'sign', old, self.path('a'), self.path('s')
        )
        self.assertEqual((code, err), (0, ''))
        _, out, _ = run('bundle', 'diff', self.path('s'), new)
        self.assertIn('bundle.version: 1 -> 2', out)
        self.assertIn('bundle.services[orders].name: orders -> -', out)
        _, out, _ = run('bundle', 'diff', old, old)
        self.assertEqual(out, 'No differences.\n')

    def test_roll_checks_the_signature(self):
        """A bundle signed by another key is refused before it is sent."""
        for private, public in ('ab', 'cd'):
            run('keys', 'make', self.path(private), self.path(public))
        bundle = self.write_bundle('bundle.jsonc')
        signed = self.path('signed')
        run('bundle', 'sign', bundle, self.path('a'), signed)
        for public, expected in (('d', 3), ('b', 6)):
            with self.subTest(public=public):
                key = self.path(public)
                code, _, _ = run('bundle', 'roll', signed, '127.0.0.1:1', key)
                self.assertEqual(code, expected)
