"""Daily operation: the inherited listener, the operators' door, hand-outs, drains and upgrades."""

import os
from dataclasses import replace

import gevent
import pytest
from gevent import socket

from ashlift import config as configuration
from ashlift.__main__ import Gatekeeper
from ashlift.net.front.listener import adopt
from tests.play import config, listen
from tests.standins import Node

NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}


def ask_up(address: tuple[str, int]) -> bytes:
    with socket.create_connection(address) as client, gevent.Timeout(10):
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        return bytes(client.recv(65536))


def test_the_inherited_socket_is_accepted_on_and_nothing_is_bound() -> None:
    node, held = Node(), listen()  # the platform's: it outlives both processes
    settings = config(NOWHERE | {"n1": node.address}, {})
    first = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    assert first.start() == held.getsockname()
    assert ask_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    second.start()  # beside the first, on the same address
    first.stop(0.0)
    for _ in range(3):  # what the first left is the second's, and the platform's socket stays open
        assert ask_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second.stop(0.0)
    held.close()
    node.server.stop()


def test_an_inherited_descriptor_that_is_no_listener_is_refused() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # not listening
        spare = os.dup(bound.fileno())
        with pytest.raises(OSError, match="no listening"):
            adopt(spare)
        os.close(spare)  # still open: adopt left it alone
    with open(os.devnull) as file, pytest.raises(OSError):
        adopt(file.fileno())


@pytest.mark.parametrize("value", ["seven", "-1", "2"])
def test_an_inherited_descriptor_that_cannot_be_right_names_its_key(value: str) -> None:
    with pytest.raises(configuration.ConfigError, match="GW_INHERITED_FD"):
        configuration._descriptor("GW_INHERITED_FD", value)
