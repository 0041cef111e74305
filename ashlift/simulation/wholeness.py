"""Checkers of what clients get: the worker's own answers, whole, on all routes, and again after a loss."""

import math
from collections.abc import Iterator

from ashlift.simulation.checks import Breach, Judge
from ashlift.simulation.history import Request

ENOUGH = 20  # requests, fewer tell nothing of a share


def mixed(judge: Judge) -> Iterator[Breach]:
    """MIXED, where seals are recorded."""
    for one in judge.history.requests:
        if one.seal is None or not 200 <= one.status < 300:
            continue
        if not any(run.seal == one.seal and 200 <= run.status < 300 for run in one.arrivals if run.ran):
            yield Breach("MIXED", one.ended, f"{one.told()} got {one.status}, which no worker gave it so")


def unasked(judge: Judge) -> Iterator[Breach]:
    """UNASKED: what no client sent, and a tenant that does not hold the key."""
    for stray in judge.history.strays:
        yield Breach("UNASKED", stray.at, f"{stray.what} at {stray.worker}: no client sent it so")
    tables = [(one.sent, one.table) for one in judge.changes if one.valid]
    for request in judge.history.requests:
        for run in request.arrivals:
            if not run.ran or not run.tenant:
                continue
            known = [table.find_tenant(request.key) for sent, table in tables if sent <= run.at]
            if not any(tenant is not None and tenant.name == run.tenant for tenant in known):
                yield Breach(
                    "UNASKED",
                    run.at,
                    f"{request.told()} ran at {run.worker} for {run.tenant}, who never held its key",
                )


def broken_off(judge: Judge) -> Iterator[Breach]:
    """LOST: read whole by a gatekeeper without unplanned trouble, and cut off without an answer."""
    history, bounds = judge.history, judge.bounds
    for one in history.requests:
        if not one.broken or math.isinf(one.taken) or not (one.arrivals or one.ended > _slack(judge, one)):
            continue
        since = one.sent - bounds.contact
        terms = [at for at in history.planned.get(one.gate, ()) if since <= at <= one.ended]
        spans = history.troubles.get(one.gate, ())
        if any(span[0] <= one.ended and span[1] >= since and span[0] not in terms for span in spans):
            continue
        if not judge.settled(since, one.ended):
            continue
        if terms and one.ended > terms[-1] + bounds.grace / 2 and any(run.ran for run in one.arrivals):
            continue  # its worker was at work in the second half of Grace
        if any(history.workers[run.worker].ended <= one.ended for run in one.arrivals):
            continue  # the worker broke off
        yield Breach("LOST", one.ended, f"{one.told()} was read, and its connection ended without an answer")


def _slack(judge: Judge, one: Request) -> float:
    return one.taken + judge.bounds.loss_slack


def recovered(judge: Judge) -> Iterator[Breach]:
    """RECOVER: a quarter was served before the closing fault, and under a quarter once all is back."""
    history = judge.history
    if math.isinf(history.closing):
        return
    ends = [span[1] for spans in history.troubles.values() for span in spans if span[0] >= history.closing]
    back = max((end for end in ends if not math.isinf(end)), default=history.closing)
    before = [one for one in history.requests if one.ended < history.closing]
    begin = back + judge.bounds.recovery
    after = [one for one in history.requests if one.sent > begin and one.ended < math.inf]
    if len(before) < ENOUGH or len(after) < ENOUGH or _share(before) < 0.25:
        return
    if _share(after) < 0.25:
        yield Breach(
            "RECOVER",
            after[0].ended,
            f"{_share(after):.3f} of {len(after)} requests served after all was back at {back:.3f}; "
            f"the first is {after[0].told()}",
        )


def slighted(judge: Judge) -> Iterator[Breach]:
    """CONFIG: routes that were added later are served a quarter as often as the first, at the least."""
    if not judge.chain:
        return
    first, rest = judge.chain[0].table, judge.chain[1:]
    old: list[Request] = []
    new: list[Request] = []
    for one in judge.history.requests:
        if math.isinf(one.ended) or not judge.in_touch(one.gate, one.ended):
            continue
        if first.find_route("app.example", one.path) is not None:
            old.append(one)
            continue
        due = [change for change in rest if change.acked + judge.bounds.config_apply < one.sent]
        if due and due[-1].table.find_route("app.example", one.path) is not None:
            new.append(one)
    if len(new) >= ENOUGH and len(old) >= ENOUGH and _share(new) < _share(old) / 4:
        yield Breach(
            "CONFIG",
            new[-1].ended,
            f"{_share(new):.3f} of {len(new)} requests on later routes served, {_share(old):.3f} on the "
            f"first; the last {new[-1].told()}",
        )


def _share(requests: list[Request]) -> float:
    return sum(200 <= one.status < 300 for one in requests) / max(1, len(requests))
