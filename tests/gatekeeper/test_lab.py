"""The lab's checker catches breaches planted in recorded histories, and passes the clean one."""

import contextlib
import io
import json
import re
from pathlib import Path

import gevent
import pytest
from click.testing import CliRunner
from gevent import socket

from ashlift.gatekeeper.cli import ashlift
from ashlift.lab.checker import check_history
from ashlift.lab.history import HistoryError, read_history
from ashlift.lab.link_faults import (
    Direction,
    FaultSchedule,
    LinkFault,
    LinkFaultError,
    LinkState,
    LinkStateKind,
    one_way_fault,
    partition_fault,
)
from ashlift.lab.run import Run
from ashlift.lab.scenario import Scenario
from ashlift.lab.tcp_fault_proxy import TcpFaultProxy
from ashlift.lab.udp_fault_proxy import UdpFaultProxy

PLAN = {"kind": "plan", "name": "basic", "rate": 10.0, "burst": 5.0}


def asked(job: str, t: float, gatekeeper: str = "g1", units: float = 1) -> dict[str, object]:
    return {
        "kind": "asked",
        "t": t,
        "job": job,
        "firm": "f1",
        "plan": "basic",
        "units": units,
        "gatekeeper": gatekeeper,
    }


def answered(job: str, t: float, status: int = 200, after: float | None = None) -> dict[str, object]:
    return {"kind": "answered", "t": t, "job": job, "status": status, "retry_after": after}


def clean() -> list[dict[str, object]]:
    """Ten jobs a second for two seconds from a burst of five, all in the bucket; a refusal with advice."""
    rows: list[dict[str, object]] = [PLAN]
    for n in range(20):
        rows += [asked(f"j{n}", 100.0 * n), answered(f"j{n}", 100.0 * n + 3)]
    return rows + [asked("r", 2000.0), answered("r", 2001.0, 429, 0.1)]


def lines(rows: list[dict[str, object]]) -> list[str]:
    return [json.dumps(row) for row in rows]


def failed(rows: list[dict[str, object]], allowed: float = 0.0) -> set[str]:
    return {verdict.name for verdict in check_history(read_history(lines(rows)), allowed) if not verdict.ok}


def test_a_clean_history_passes_and_each_planted_breach_is_caught() -> None:
    assert failed(clean()) == set()
    assert failed([*clean(), answered("j3", 900.0)]) == {"one_answer"}  # doubled
    assert failed([row for row in clean() if row != answered("j7", 703.0)]) == {"one_answer"}  # lost
    assert failed([*clean(), answered("nobody", 5.0)]) == {"one_answer"}
    assert failed([*clean(), asked("x", 2100.0), answered("x", 2101.0, 429)]) == {"advice"}
    burst = [asked(f"b{n}", 1500.0, units=2) for n in range(4)]
    burst += [answered(f"b{n}", 1502.0) for n in range(4)]
    assert failed([*clean(), *burst]) == {"quota"}  # 8 units at once where the bucket holds 4
    assert failed([*clean(), *burst], allowed=8.0) == set()
    early = [PLAN, asked("late", 900.0), answered("late", 901.0)]
    assert failed([*early, *clean()[1:]]) == set()  # asked rows out of time order
    cut = {"kind": "fault", "t": 100.0, "until": 900.0, "what": "cut", "ways": ["g1>counter", "counter>g1"]}
    assert failed([*clean(), cut]) == {"crossed"}  # planted, never met
    met = {"kind": "seen", "way": "g1>counter", "what": "refused", "count": 2}
    assert failed([*clean(), cut, met]) == set()


def test_jobs_open_at_a_kill_are_reported_not_breaches() -> None:
    rows = [*clean(), asked("k", 2500.0, gatekeeper="g2")]
    rows.append({"kind": "killed", "t": 2600.0, "gatekeeper": "g2"})
    (verdict,) = [
        verdict for verdict in check_history(read_history(lines(rows))) if verdict.name == "one_answer"
    ]
    assert verdict.ok and "open at a kill: g2 1" in verdict.line()
    assert failed([*rows, asked("late", 2700.0, gatekeeper="g3")]) == {"one_answer"}


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ("{", "1: not JSON"),
        ('{"kind": "asked", "t": 1}', "1: job"),
        ('{"kind": "nap", "t": 1}', "1: kind"),
        (json.dumps(asked("a", 1.0)), "1: plan"),
    ],
)
def test_a_line_that_cannot_be_right_names_its_place_and_key(text: str, where: str) -> None:
    with pytest.raises(HistoryError, match=f"^{where}"):
        read_history([text])


def test_the_command_line_says_one_line_an_invariant_and_fails_on_a_breach(tmp_path: Path) -> None:
    path = tmp_path / "h.jsonl"
    path.write_text("\n".join(lines([*clean(), answered("j3", 900.0)])))
    result = CliRunner().invoke(ashlift, ["lab", "check", str(path)])
    assert result.exit_code == 1 and result.output.splitlines()[0].startswith("FAIL one_answer")
    assert [line.split()[0] for line in result.output.splitlines()] == ["FAIL", "PASS", "PASS", "PASS"]


def test_faults_lay_over_one_another_and_a_partition_cuts_both_ways_between_sides() -> None:
    split = partition_fault([{"g1"}, {"g2", "g3"}], 1000.0, 4000.0)
    slow = LinkFault(
        frozenset({Direction("g1", "g2")}), 2500.0, 2600.0, LinkState(LinkStateKind.DELAY, 50.0, 10.0)
    )
    schedule = FaultSchedule([split, one_way_fault("g2", "g3", 2000.0, 3000.0), slow])
    assert {str(way) for way in split.directions} == {"g1>g2", "g2>g1", "g1>g3", "g3>g1"}
    assert schedule.state(Direction("g1", "g2"), 999.0).kind is LinkStateKind.PASS
    assert schedule.state(Direction("g2", "g1"), 1000.0).kind is LinkStateKind.CUT
    assert schedule.state(Direction("g1", "g2"), 2550.0) == LinkState(
        LinkStateKind.DELAY, 50.0, 10.0
    )  # the later one wins
    assert (
        schedule.state(Direction("g2", "g3"), 2000.0).kind is LinkStateKind.DROP
    )  # g3 hears nothing of g2 ...
    assert (
        schedule.state(Direction("g3", "g2"), 2000.0).kind is LinkStateKind.PASS
    )  # ... and g2 still hears g3
    assert schedule.state(Direction("g1", "g3"), 4000.0).kind is LinkStateKind.PASS
    assert schedule.change_times() == [1000.0, 2000.0, 2500.0, 2600.0, 3000.0, 4000.0]
    with pytest.raises(LinkFaultError, match="^at"):
        one_way_fault("a", "b", 5.0, 5.0)


def echo_server() -> tuple[socket.socket, list[bytes]]:
    heard: list[bytes] = []
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(8)

    def serve(conn: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := conn.recv(1024):
                heard.append(data)
                conn.sendall(data)

    gevent.spawn(lambda: [gevent.spawn(serve, server.accept()[0]) for _ in range(8)])
    return server, heard


def test_the_proxy_passes_drops_one_way_and_cuts_as_the_schedule_says() -> None:
    server, heard = echo_server()
    clock = [0.0]
    # From 0.5 s the asks wait 5 to 10 ms; from 1 s the answers are dropped (the far end hears the near one,
    # not the other way); from 2 s, a cut.
    cut = partition_fault([{"g1"}, {"counter"}], 2000.0, 9e9)
    slow = LinkFault(
        frozenset({Direction("g1", "counter")}), 500.0, 1000.0, LinkState(LinkStateKind.DELAY, 5.0, 5.0)
    )
    schedule = FaultSchedule([slow, one_way_fault("counter", "g1", 1000.0, 2000.0), cut])
    link = TcpFaultProxy("g1", "counter", server.getsockname(), schedule, seed=3, clock=lambda: clock[0])
    with gevent.Timeout(10), socket.create_connection(link.address) as client:
        client.sendall(b"one")
        assert client.recv(16) == b"one"
        clock[0] = 0.7
        client.sendall(b"slow")
        assert client.recv(16) == b"slow" and link.counts["g1>counter delayed"] == 4
        clock[0] = 1.5
        client.sendall(b"two")
        while link.counts["counter>g1 dropped"] < 3:
            gevent.sleep(0.01)
        assert heard == [b"one", b"slow", b"two"] and link.counts["g1>counter passed"] == 10
        clock[0] = 2.5
        with pytest.raises(ConnectionResetError):
            client.sendall(b"three")
            client.recv(16)
        with pytest.raises(ConnectionResetError), socket.create_connection(link.address) as late:
            late.recv(16)
    assert link.counts["g1>counter refused"] == 1 and b"three" not in heard
    link.close()
    server.close()


def test_a_held_way_keeps_bytes_and_brings_them_on_where_the_connection_stands() -> None:
    server, heard = echo_server()
    clock = [0.0]
    hold = LinkFault(frozenset({Direction("g1", "core")}), 1000.0, 2000.0, LinkState(LinkStateKind.HOLD))
    link = TcpFaultProxy(
        "g1", "core", server.getsockname(), FaultSchedule([hold]), seed=3, clock=lambda: clock[0]
    )
    with gevent.Timeout(10), socket.create_connection(link.address) as client:
        client.sendall(b"one")
        assert client.recv(16) == b"one"
        clock[0] = 1.5
        client.sendall(b"two")
        with socket.create_connection(link.address) as late:  # comes up, and is carried on after the hold
            late.sendall(b"new")
            while not link.held_count:
                gevent.sleep(0.01)
            assert heard == [b"one"]
            clock[0] = 2.5
            assert client.recv(16) == b"two" and late.recv(16) == b"new"
    assert link.counts["g1>core held"] >= 3 and not link.held_count
    link.close()
    server.close()


def test_three_gatekeeper_processes_killed_restarted_paused_and_cut_keep_one_answer_a_job() -> None:
    """Real processes of the program: what was open at the killed one is reported by name; the paused one
    answers all it took once it goes on; the restarted one serves again; the cut from the counter is met."""
    out = io.StringIO()
    scenario = Scenario(
        3,
        3,
        3.0,
        seed=4,
        work_ms=400.0,
        kills=((1, 1.2),),
        restarts=((1, 1.8),),
        pauses=((0, 0.6, 1.6),),
        counter_cuts=((2, 0.5, 1.5),),
    )
    Run(scenario, out).play()
    verdicts = {
        verdict.name: verdict
        for verdict in check_history(read_history(out.getvalue().splitlines()), allowed=40.0)
    }
    assert all(verdict.ok for verdict in verdicts.values()), [v.line() for v in verdicts.values()]
    assert re.search(r"open at a kill: g1 [1-9]", verdicts["one_answer"].text)
    assert "cut counter>g2,g2>counter" in verdicts["crossed"].text  # the cut from the counter was met
    history = read_history(out.getvalue().splitlines())
    assert [event.text for event in history.process_events] == ["paused", "resumed", "restarted"]
    restarted = history.process_events[-1].at_ms
    again = [job for job in history.jobs.values() if job.gatekeeper == "g1" and job.sent_at_ms > restarted]
    assert again and all(job.answers for job in again)


def test_datagrams_are_dropped_one_way_duplicated_and_reordered_as_the_schedule_says() -> None:
    far = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    far.bind(("127.0.0.1", 0))
    clock = [0.0]
    schedule = FaultSchedule(
        [
            LinkFault(frozenset({Direction("g1", "g2")}), 1000.0, 2000.0, LinkState(LinkStateKind.DUPLICATE)),
            LinkFault(frozenset({Direction("g1", "g2")}), 2000.0, 3000.0, LinkState(LinkStateKind.REORDER)),
            one_way_fault("g2", "g1", 0.0, 9e9),
        ]
    )
    link = UdpFaultProxy("g1", "g2", far.getsockname(), schedule, seed=3, clock=lambda: clock[0])
    near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    heard = []
    with gevent.Timeout(10):
        near.sendto(b"a", link.address)
        heard.append(far.recvfrom(64))
        far.sendto(b"answer", heard[0][1])  # g1 hears nothing of g2
        clock[0] = 1.5
        near.sendto(b"b", link.address)
        heard += [far.recvfrom(64), far.recvfrom(64)]
        clock[0] = 2.5
        near.sendto(b"c", link.address)
        near.sendto(b"d", link.address)
        heard += [far.recvfrom(64), far.recvfrom(64)]
        while not link.counts["g2>g1 dropped"]:
            gevent.sleep(0.01)
    assert [data for data, _ in heard] == [b"a", b"b", b"b", b"d", b"c"]
    assert link.counts["g2>g1 dropped"] == 1 and link.counts["g1>g2 reordered"] == 1
    link.close()
