"""The proxy's gate, by text scenes (scenes/gate.txt), and which answers of workers it passes on."""

from pathlib import Path

from ward import each, test

from ashlift.proxy.attempts import ATTEMPT_RULES, AttemptResult
from ashlift.proxy.responses import WorkerResponse
from tests.support.request_router_scenarios import Play, scenes

TITLES, LINES = zip(*scenes(Path(__file__).parent.parent / "scenarios" / "request_router.txt"), strict=True)


@test("gate: {title}")
def _(title: str = each(*TITLES), lines: list[str] = each(*LINES)):
    play = Play()
    for line in lines:
        play.line(line)


WHOLE = "Content-Length: 2|X-Attempt-Id: a|"
SEALED = "X-Server-Seal: s|"
ANSWERS = {
    f"200 OK|{WHOLE}{SEALED}": "passed on",
    f"200 OK|{WHOLE}": "spoilt",
    f"200 OK|{SEALED}": "spoilt",
    f"200 OK|{WHOLE}{SEALED}Content-Encoding: br|": "spoilt",
    f"500 -|{WHOLE}": "passed on",
    f"503 -|{WHOLE}X-Not-Executed: 1|": "not run",
    f"421 -|{WHOLE}": "not run",
    f"503 -|{WHOLE}": "spoilt",
    f"429 -|{WHOLE}": "spoilt",
    f"408 -|{WHOLE}": "spoilt",
}


@test("answers: {head} is {wanted}")
def _(head: str = each(*ANSWERS), wanted: str = each(*ANSWERS.values())):
    reply = WorkerResponse()
    reply.feed("HTTP/1.1 {}\r\nok".format(head.replace("|", "\r\n")).encode())
    assert wanted == ("not run" if reply.not_run else "passed on" if reply.is_valid() else "spoilt")


@test("attempts: {result.name} has a rule, and what may have run is tried again on idempotent routes alone")
def _(result: AttemptResult = each(*AttemptResult)):
    rule = ATTEMPT_RULES[result]
    assert rule.allows_retry(idempotent=True)
    assert rule.allows_retry(idempotent=False) == (not rule.may_have_run)
