"""Checks that the programs of a run kept their invariants, by metrics, logs and exit statuses."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

from ashlift.errors import Failure
from ashlift.events import INVARIANT_BROKEN, UNHANDLED_ERROR
from ashlift.lab.checker import Verdict
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.metrics import INVARIANT_VIOLATIONS
from ashlift.metrics_server import METRICS_PATH

VERDICT_NAME: Final = "INVARIANTS"
METRICS_TIMEOUT_SECONDS: Final = 2.0
MAX_NAMED_PROBLEMS: Final = 5
VIOLATION_LINE: Final = re.compile(rf" (?:{INVARIANT_BROKEN.number}|{UNHANDLED_ERROR.number}) .*")
VIOLATION_COUNT: Final = re.compile(rf'^{INVARIANT_VIOLATIONS.name}\{{invariant="(.*)"\}} (\S+)$', re.M)


def read_metrics(address: tuple[str, int]) -> str | Failure:
    """Return the metrics that a program exposes, as text."""
    head = request_head("GET", METRICS_PATH, address[0], b"")
    answer = exchange(address, head, b"", METRICS_TIMEOUT_SECONDS)
    if isinstance(answer, Failure):
        return answer
    return b"".join(answer.parts).decode()


def violations_in_metrics(name: str, text: str) -> Iterator[str]:
    """Yield a line for each invariant whose violations the metrics of program `name` count."""
    counts = VIOLATION_COUNT.findall(text)
    if not counts:
        yield f"{name}: its metrics show no invariants"
    for invariant, count in counts:
        if float(count):
            yield f"{name}: {invariant} broken {count} times"


def violations_in_logs(paths: Iterable[Path]) -> Iterator[str]:
    """Yield the log lines that report a broken invariant or an unhandled error."""
    for path in sorted(paths):
        for line in path.read_text(errors="replace").splitlines():
            if VIOLATION_LINE.search(line):
                yield f"{path.stem}: {line}"


def health_verdict(problems: list[str]) -> Verdict:
    """Return the verdict on all programs of a run."""
    named = "; ".join(problems[:MAX_NAMED_PROBLEMS])
    text = f"{len(problems)} found: {named}" if problems else "every program kept its invariants and its life"
    return Verdict(VERDICT_NAME, not problems, text)
