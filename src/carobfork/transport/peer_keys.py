"""Peer keys: the CURVE key pair that all hosts of a deployment share."""

import json

import zmq

from carobfork.protocol import key_files


def make_keys(path: str) -> None:
    """Write a new key pair to a file readable by its owner only.

    :raises SettingsError: the file exists already.
    """
    public, secret = zmq.curve_keypair()
    fields = {'public': public.decode(), 'secret': secret.decode()}
    key_files.write_new(path, json.dumps(fields).encode())
