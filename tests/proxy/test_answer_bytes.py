"""Trouble at every byte between a gatekeeper and its workers, and its clients (the rest: test_answers.py)."""

from collections.abc import Callable

import gevent
from gevent.pool import Pool
from ward import each, test

from tests.support.fault_proxy import REPEAT, STALL, STALL_AND_RESET, TO_CLIENT, TO_SERVER, FaultProxy
from tests.support.gatekeeper import BODY, WAYS, Client, Request, Site

SILENT = (STALL, STALL_AND_RESET)  # kinds of trouble that leave somebody waiting
REQUEST, ANSWER = 210, 135  # bytes, and some more than there are
OURS = [(kind, way) for kind, way in WAYS if kind != REPEAT]  # what comes twice to a client is not ours


def together(most: int, run: Callable[[int], None]) -> None:
    """For each number below `most`, some at a time."""
    pool = Pool(40)
    runs = [pool.spawn(run, number) for number in range(most)]
    gevent.joinall(runs, raise_error=True)


def asked(between: FaultProxy, number: int, kind: str, way: str, client: Client, *requests: Request) -> None:
    """Requests with a trouble after `number` bytes; who would wait for the rest leaves once it has struck."""

    def leave() -> None:
        between.fault_struck.wait()
        if kind in SILENT:
            client.leave()

    between.inject(way, number, kind)
    leaving = gevent.spawn(leave)
    client.ask(*requests)
    client.close()
    leaving.kill()


def struck_links(kind: str, way: str) -> None:
    """A trouble at every byte between the gatekeeper and a worker, on a connection that was used before."""
    most = REQUEST if way == TO_SERVER else ANSWER
    site = Site(most)

    def run(number: int) -> None:
        link = site.links[number, 0]
        assert site.ask(number).status == 200
        size = link.forwarded_bytes[way]
        assert size < most, "not every byte is tried"
        one = site.history.request(f"/{'hold' if number % 3 else 'look'}/{number}/x", not number % 3, BODY)
        asked(link, number, kind, way, Client(site.history, site.gatekeeper.address), one)
        assert link.fault_count or number > size
        link.end_faults()
        assert site.ask(number).status == 200

    together(most, run)
    site.close()


@test("answers: the way to a worker is {kind} at every byte, {way}")
def _(kind: str = each(*[kind for kind, _ in WAYS]), way: str = each(*[way for _, way in WAYS])) -> None:
    struck_links(kind, way)


def struck_clients(kind: str, way: str) -> None:
    """The same between a client and the gatekeeper, in the first of two requests that come together."""
    most = REQUEST if way == TO_SERVER else ANSWER
    site = Site()

    def run(number: int) -> None:
        between = FaultProxy(site.gatekeeper.address)
        client = Client(site.history, between.address)
        both = [site.history.request("/hold/0/x", False, BODY) for _ in range(2)]
        asked(between, number, kind, way, client, *both)
        assert between.fault_count
        between.close()

    together(most, run)
    site.close()


@test("answers: the way of a client is {kind} at every byte, {way}")
def _(kind: str = each(*[kind for kind, _ in OURS]), way: str = each(*[way for _, way in OURS])) -> None:
    struck_clients(kind, way)


@test("answers: the way to a worker is {kind} until the time is up, {way}")
def _(
    kind: str = each(STALL, STALL_AND_RESET, STALL, STALL_AND_RESET),
    way: str = each(TO_SERVER, TO_SERVER, TO_CLIENT, TO_CLIENT),
) -> None:
    site = Site(12)

    def run(number: int) -> None:
        site.links[number, 0].inject(way, 10 * number, kind)
        assert site.ask(number, repeatable=number % 2 == 0, remaining=100).status in (0, 503, 504)

    together(12, run)
    site.close()
