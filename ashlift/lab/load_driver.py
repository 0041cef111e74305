"""The load of a lab run: jobs of all firms, Poisson or ramped, each on a connection of its own."""

import random
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.lab.gatekeeper_process import GatekeeperProcess
from ashlift.lab.gatekeeper_settings import CATEGORY, PLAN
from ashlift.lab.history_writer import HistoryWriter
from ashlift.lab.scenario import Scenario

ANSWER_TIMEOUT_SECONDS: Final = 5.0  # a job's time-out is 2 s; what is not answered by now never is
RECEIVE_BYTES: Final = 65536
HEAD_END: Final = b"\r\n\r\n"

Progress = Callable[[float, int, int], None]  # seconds, jobs sent, jobs done; about each second


class LoadDriver:
    """Owns the greenlets of the jobs, which end within `run`."""

    def __init__(
        self,
        scenario: Scenario,
        gatekeepers: list[GatekeeperProcess],
        writer: HistoryWriter,
        on_progress: Progress | None,
    ) -> None:
        self._scenario = scenario
        self._gatekeepers = gatekeepers
        self._writer = writer
        self._on_progress = on_progress

    def run(self) -> None:
        """Send all jobs at their times, each to a random gatekeeper, and wait for their answers."""
        scenario = self._scenario
        rng = random.Random(scenario.seed)
        arrivals = sorted(
            (second, firm) for firm in range(scenario.firms) for second in arrival_times(rng, scenario)
        )
        jobs: list[gevent.Greenlet[Any, Any]] = []
        reported_second = 0
        for number, (second, firm) in enumerate(arrivals):
            gevent.sleep(max(0.0, second - self._writer.now_ms() / 1000))
            if self._on_progress is not None and int(second) > reported_second:
                reported_second = int(second)
                self._on_progress(second, number, sum(job.dead for job in jobs))
            gatekeeper = self._gatekeepers[rng.randrange(len(self._gatekeepers))]
            jobs.append(gevent.spawn(self._send_job, f"j{number}", f"{firm + 1:016x}", gatekeeper))
        gevent.joinall(jobs, timeout=ANSWER_TIMEOUT_SECONDS + 1)
        gevent.killall(jobs)

    def _send_job(self, job: str, firm: str, gatekeeper: GatekeeperProcess) -> None:
        head = (
            f"GET /{CATEGORY}/memphis?day=7 HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: {job}\r\n"
            f"X-Qos: {CATEGORY}\r\nApi-Plan: {PLAN}\r\nApi-Customer: {firm}\r\n"
            f"X-Expires-In: 2.000\r\n"
            f"Api-Terms: units=1,spread={len(self._gatekeepers)},first=0\r\n\r\n"
        ).encode()
        try:
            with socket.create_connection(gatekeeper.address, timeout=ANSWER_TIMEOUT_SECONDS) as sock:
                sock.sendall(head)
                self._writer.job_sent(job, firm, gatekeeper.name)
                answer = _read_answer(sock)
        except OSError:
            # Refused before it was sent, or left without an answer: the checker sees which.
            return
        if answer is not None:
            status, retry_after = answer
            self._writer.job_answered(job, status, retry_after)


def arrival_times(rng: random.Random, scenario: Scenario) -> list[float]:
    """Return the seconds at which one firm's jobs are sent: a Poisson process at `Scenario.rate_at`.

    It thins a Poisson process at the highest rate (Lewis and Shedler, 1979).
    """
    max_rate = scenario.max_rate()
    times: list[float] = []
    second = rng.expovariate(max_rate) if max_rate > 0 else scenario.seconds
    while second < scenario.seconds:
        if rng.random() * max_rate < scenario.rate_at(second):
            times.append(second)
        second += rng.expovariate(max_rate)
    return times


def _read_answer(sock: socket.socket) -> tuple[int, float | None] | None:
    """Return the status and Retry-After in seconds; None where the connection ends before its head."""
    received = b""
    while HEAD_END not in received:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return None
        received += data
    lines = received.split(HEAD_END, 1)[0].decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    for line in lines[1:]:
        if line.lower().startswith("retry-after:"):
            return status, float(line.split(":", 1)[1])
    return status, None
