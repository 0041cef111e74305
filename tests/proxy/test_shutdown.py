"""Requests that meet the end of a proxy: who was accepted is answered."""

import socket as blocking_socket
import time as blocking_time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from ward import test

from tests.support.proxy_history import Request
from tests.support.proxy_site import ProxySite
from tests.support.stub_client import StubClient

TIMER_SECONDS = 0.002


@contextmanager
def proxy_site() -> Iterator[ProxySite]:
    site = ProxySite()
    try:
        yield site
    finally:
        site.close()


def new_request(site: ProxySite) -> Request:
    return site.history.new_request("/look/0/x", True, b"a body")


def send_unread(client: StubClient, request: Request) -> None:
    """Send without a switch of greenlets: the bytes lie in the kernel and the proxy has not read them."""
    blocking_socket.socket.sendall(client.sock._sock, request.to_bytes())  # type: ignore[attr-defined]


def close_in_the_same_turn(site: ProxySite) -> None:
    """Have the proxy close in the turn of the event loop in which it finds what has been sent.

    Nobody may switch between the sending and this call. The loop finds the bytes and the due timer at once,
    and calls the timer first.
    """
    timer = gevent.get_hub().loop.timer(TIMER_SECONDS)
    timer.start(site.proxy.server.stop_accepting)
    blocking_time.sleep(2 * TIMER_SECONDS)


@test("a request that is found in the same turn of the event loop as the end of the proxy is answered")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        client.send(new_request(site))
        request = new_request(site)
        send_unread(client, request)
        close_in_the_same_turn(site)
        client.read_response(request)
        ends = site.proxy.request_handler.ledger.ends
        assert request.status == 200, f"{ends}, runs: {site.history.runs}"


@test("a request on a kept connection that has arrived, but is not read, when the proxy closes is answered")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        client.send(new_request(site))
        request = new_request(site)
        send_unread(client, request)
        site.proxy.server.stop_accepting()
        client.read_response(request)
        assert request.status == 200


@test("a connection that the kernel has accepted when the proxy closes is served")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        request = new_request(site)
        send_unread(client, request)
        site.proxy.server.stop_accepting()
        client.read_response(request)
        assert request.status == 200
