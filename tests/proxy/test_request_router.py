"""The request router in text scenarios, validation of worker responses, and the retry rules."""

from pathlib import Path

from ward import each, test

from ashlift.proxy.attempts import ATTEMPT_RULES, AttemptResult
from ashlift.proxy.responses import WorkerResponse
from tests.support.request_router_scenarios import RequestRouterScenario, read_scenarios

SCENARIOS = Path(__file__).parent.parent / "scenarios" / "request_router.txt"
TITLES, LINES = zip(*read_scenarios(SCENARIOS), strict=True)


@test("request router: {title}")
def _(title: str = each(*TITLES), lines: list[str] = each(*LINES)):
    scenario = RequestRouterScenario()
    for line in lines:
        scenario.line(line)


COMPLETE = "Content-Length: 2|X-Attempt-Id: a|"
SEALED = "X-Server-Seal: s|"
RESPONSES = {
    f"200 OK|{COMPLETE}{SEALED}": "relayed",
    f"200 OK|{COMPLETE}": "invalid",
    f"200 OK|{SEALED}": "invalid",
    f"200 OK|{COMPLETE}{SEALED}Content-Encoding: br|": "invalid",
    f"500 -|{COMPLETE}": "relayed",
    f"503 -|{COMPLETE}X-Not-Executed: 1|": "not run",
    f"421 -|{COMPLETE}": "not run",
    f"503 -|{COMPLETE}": "invalid",
    f"429 -|{COMPLETE}": "invalid",
    f"408 -|{COMPLETE}": "invalid",
}


@test("worker response: {head} is {wanted}")
def _(head: str = each(*RESPONSES), wanted: str = each(*RESPONSES.values())):
    response = WorkerResponse()
    response.feed("HTTP/1.1 {}\r\nok".format(head.replace("|", "\r\n")).encode())
    assert wanted == ("not run" if response.not_run else "relayed" if response.is_valid() else "invalid")


@test("attempts: {result.name} has a rule, and only idempotent routes retry what may have run")
def _(result: AttemptResult = each(*AttemptResult)):
    rule = ATTEMPT_RULES[result]
    assert rule.allows_retry(idempotent=True)
    assert rule.allows_retry(idempotent=False) == (not rule.may_have_run)
