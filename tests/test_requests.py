"""Callers' requests: each wrong one is a clear error, nothing ran."""

import json
import types
import unittest

import werkzeug
from werkzeug import test as werkzeug_test

from carobfork import exceptions
from carobfork.protocol import headers, requests

HEADERS = types.MappingProxyType(
    {headers.PROGRAM: 'p', headers.TOKEN: 't', headers.CALL: 'k'}
)
MESSAGE = types.MappingProxyType({'role': 'user', 'content': 'How wide?'})


def build(body, name='', text=''):
    """Return a request with a raw or a JSON body and one header changed."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {**HEADERS, name: text} if name else dict(HEADERS)
    builder = werkzeug_test.EnvironBuilder(
        method='POST', data=raw, headers=fields
    )
    return werkzeug.Request(builder.get_environ())


def chat(**changes):
    """Return a right body with changed fields."""
    return {
        'model': 'talk',
        'messages': [dict(MESSAGE)],
        'stream': True,
        **changes,
    }


class ModelCallTest(unittest.TestCase):
    """Model calls are checked field by field."""

    def refuse(self, request, words):
        """Check that a request is refused, naming what is wrong."""
        with self.assertRaises(exceptions.BadRequestError) as caught:
            requests.model_call(request)
        error = caught.exception
        self.assertIn(words, error.message)
        self.assertEqual(error.step, 'read request')
        self.assertEqual(error.outcome, exceptions.Outcome.not_run)

    def test_right_call(self):
        """A right call comes out with its defaults."""
        call = requests.model_call(build(chat()))
        self.assertEqual(call.max_tokens, requests.DEFAULT_MAX_TOKENS)
        self.assertEqual(json.loads(call.messages), dict(MESSAGE))
        self.assertNotIn('messages', json.loads(call.options))

    def test_malformed_bodies(self):
        """Bodies that are no JSON object of this form are refused."""
        for raw in (
            b'',
            b'{',
            b'[]',
            b'"text"',
            b'null',
            b'\xff\xfe{}',
            b'{"model": "\xff"}',
            b'{"model": NaN}',
            b'[' * 100_000,
            b'{"a":' * 100_000,
            b'{"model": "talk"} {}',
        ):
            with self.subTest(raw=raw[:20]):
                self.refuse(build(raw), 'JSON')

    def test_wrong_fields(self):
        """A field of a wrong type or out of range is named."""
        for field, wrong in (
            ('model', 5),
            ('model', ''),
            ('model', None),
            ('messages', []),
            ('messages', {}),
            ('messages', 'text'),
            ('messages', list(range(requests.MAX_MESSAGES + 1))),
            ('stream', False),
            ('stream', 'yes'),
            ('stream', 1),
            ('max_tokens', '8'),
            ('max_tokens', -1),
            ('max_tokens', 0),
            ('max_tokens', 1.5),
            ('max_tokens', True),
            ('max_tokens', None),
            ('max_tokens', 10**30),
        ):
            with self.subTest(field=field, wrong=str(wrong)[:20]):
                self.refuse(build(chat(**{field: wrong})), f'"{field}"')

    def test_wrong_messages(self):
        """A message of a wrong form is named by its position."""
        for wrong in (
            'text',
            None,
            [],
            {},
            {'role': 7},
            {'role': 'user', 'content': 7},
            {'role': 'user', 'content': {}},
        ):
            with self.subTest(wrong=wrong):
                request = build(chat(messages=[dict(MESSAGE), wrong]))
                self.refuse(request, 'messages[1]')

    def test_wrong_headers(self):
        """Missing, long and unprintable headers are refused."""
        for name in HEADERS:
            for wrong in ('', ' ', 'a b', 'x' * 201, 'é', '\x7f'):
                with self.subTest(name=name, wrong=wrong[:5]):
                    self.refuse(build(chat(), name, wrong), name)


class ServiceCallTest(unittest.TestCase):
    """Service calls pass through, but for headers that could break out."""

    def test_content_type(self):
        """A content type with control characters is refused."""
        request = build(b'', 'Content-Type', 'text/plain')
        call = requests.service_call(request, 'orders', 'deposit')
        self.assertEqual(
            (call.path, call.content_type), ('/deposit', 'text/plain')
        )
        request = build(b'')
        request.environ['CONTENT_TYPE'] = 'a\r\nX-Forged: 1'
        with self.assertRaises(exceptions.BadRequestError):
            requests.service_call(request, 'orders', 'deposit')
