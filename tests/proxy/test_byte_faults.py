"""Network faults at every byte offset between a proxy and its workers or clients."""

from collections.abc import Callable

import gevent
from gevent.pool import Pool
from ward import each, test

from tests.support.fault_proxy import REPEAT, STALL, STALL_AND_RESET, TO_CLIENT, TO_SERVER, FaultProxy
from tests.support.proxy_history import Request
from tests.support.proxy_site import BODY, FAULTS, ProxySite
from tests.support.stub_client import StubClient

STALLING = (STALL, STALL_AND_RESET)
# Slightly more bytes than a request and a response have.
MAX_REQUEST_BYTES = 210
MAX_RESPONSE_BYTES = 135
# Repeating bytes to a client is a fault that the proxy cannot prevent.
CLIENT_FAULTS = [(fault, direction) for fault, direction in FAULTS if fault != REPEAT]


def run_concurrently(count: int, run: Callable[[int], None]) -> None:
    """Call `run` with each number below `count`, up to 40 at a time."""
    pool = Pool(40)
    runs = [pool.spawn(run, number) for number in range(count)]
    gevent.joinall(runs, raise_error=True)


def send_with_fault(
    fault_proxy: FaultProxy, offset: int, fault: str, direction: str, client: StubClient, *requests: Request
) -> None:
    """Send requests with a fault after `offset` bytes; after a stall the client disconnects."""

    def hang_up_when_stalled() -> None:
        fault_proxy.fault_struck.wait()
        if fault in STALLING:
            client.hang_up()

    fault_proxy.inject(direction, offset, fault)
    hang_up = gevent.spawn(hang_up_when_stalled)
    client.send(*requests)
    client.close()
    hang_up.kill()


def check_worker_faults(fault: str, direction: str) -> None:
    """Inject a fault at every byte between the proxy and a worker, on a reused connection."""
    count = MAX_REQUEST_BYTES if direction == TO_SERVER else MAX_RESPONSE_BYTES
    site = ProxySite(count)

    def run(number: int) -> None:
        fault_proxy = site.fault_proxies[number, 0]
        assert site.send(number).status == 200
        request_bytes = fault_proxy.forwarded_bytes[direction]
        assert request_bytes < count, "not every byte is tried"
        idempotent = number % 3 == 0
        path = f"/{'look' if idempotent else 'hold'}/{number}/x"
        request = site.history.new_request(path, idempotent, BODY)
        client = StubClient(site.history, site.proxy.address)
        send_with_fault(fault_proxy, number, fault, direction, client, request)
        assert fault_proxy.fault_count or number > request_bytes
        fault_proxy.end_faults()
        assert site.send(number).status == 200

    run_concurrently(count, run)
    site.close()


@test("responses: {fault} at every byte between proxy and worker, {direction}")
def _(
    fault: str = each(*[fault for fault, _ in FAULTS]),
    direction: str = each(*[direction for _, direction in FAULTS]),
) -> None:
    check_worker_faults(fault, direction)


def check_client_faults(fault: str, direction: str) -> None:
    """Inject a fault at every byte between a client and the proxy, in the first of two pipelined requests."""
    count = MAX_REQUEST_BYTES if direction == TO_SERVER else MAX_RESPONSE_BYTES
    site = ProxySite()

    def run(number: int) -> None:
        fault_proxy = FaultProxy(site.proxy.address)
        client = StubClient(site.history, fault_proxy.address)
        requests = [site.history.new_request("/hold/0/x", False, BODY) for _ in range(2)]
        send_with_fault(fault_proxy, number, fault, direction, client, *requests)
        assert fault_proxy.fault_count
        fault_proxy.close()

    run_concurrently(count, run)
    site.close()


@test("responses: {fault} at every byte between client and proxy, {direction}")
def _(
    fault: str = each(*[fault for fault, _ in CLIENT_FAULTS]),
    direction: str = each(*[direction for _, direction in CLIENT_FAULTS]),
) -> None:
    check_client_faults(fault, direction)


@test("responses: {fault} until the deadline between proxy and worker, {direction}")
def _(
    fault: str = each(STALL, STALL_AND_RESET, STALL, STALL_AND_RESET),
    direction: str = each(TO_SERVER, TO_SERVER, TO_CLIENT, TO_CLIENT),
) -> None:
    site = ProxySite(12)

    def run(number: int) -> None:
        site.fault_proxies[number, 0].inject(direction, 10 * number, fault)
        assert site.send(number, idempotent=number % 2 == 0, remaining_ms=100).status in (0, 503, 504)

    run_concurrently(12, run)
    site.close()
