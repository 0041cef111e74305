"""Schedules of link faults, and the fault-injecting proxies for TCP and UDP."""

import contextlib

import gevent
import pytest
from gevent import socket

from ashlift.lab.link_faults import (
    PASS,
    Direction,
    FaultSchedule,
    LinkFault,
    LinkFaultError,
    LinkState,
    LinkStateKind,
    one_way_fault,
    partition_fault,
)
from ashlift.lab.tcp_fault_proxy import TcpFaultProxy
from ashlift.lab.udp_fault_proxy import UdpFaultProxy

TIMEOUT_SECONDS = 10
POLL_SECONDS = 0.01
FOREVER_MS = 9e9


def fault(source: str, target: str, started_ms: float, ended_ms: float, state: LinkState) -> LinkFault:
    return LinkFault(frozenset({Direction(source, target)}), started_ms, ended_ms, state)


def test_faults_lay_over_one_another_and_a_partition_cuts_both_directions_between_sides() -> None:
    split = partition_fault([{"g1"}, {"g2", "g3"}], 1000.0, 4000.0)
    delay = LinkState(LinkStateKind.DELAY, 50.0, 10.0)
    slow = fault("g1", "g2", 2500.0, 2600.0, delay)
    schedule = FaultSchedule([split, one_way_fault("g2", "g3", 2000.0, 3000.0), slow])
    assert {str(direction) for direction in split.directions} == {"g1>g2", "g2>g1", "g1>g3", "g3>g1"}
    assert schedule.state(Direction("g1", "g2"), 999.0).kind is LinkStateKind.PASS
    assert schedule.state(Direction("g2", "g1"), 1000.0).kind is LinkStateKind.CUT
    # The later fault wins.
    assert schedule.state(Direction("g1", "g2"), 2550.0) == delay
    # g3 receives nothing from g2, while g2 still receives from g3.
    assert schedule.state(Direction("g2", "g3"), 2000.0).kind is LinkStateKind.DROP
    assert schedule.state(Direction("g3", "g2"), 2000.0) == PASS
    assert schedule.state(Direction("g1", "g3"), 4000.0).kind is LinkStateKind.PASS
    assert schedule.change_times() == [1000.0, 2000.0, 2500.0, 2600.0, 3000.0, 4000.0]
    with pytest.raises(LinkFaultError, match="^at"):
        one_way_fault("a", "b", 5.0, 5.0)


def start_echo_server() -> tuple[socket.socket, list[bytes]]:
    """Return the socket of an echo server, and the list of data it has received."""
    received: list[bytes] = []
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(8)

    def serve(connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := connection.recv(1024):
                received.append(data)
                connection.sendall(data)

    gevent.spawn(lambda: [gevent.spawn(serve, server.accept()[0]) for _ in range(8)])
    return server, received


def send_and_receive(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(16)


def test_the_tcp_proxy_passes_drops_one_way_and_cuts_as_the_schedule_says() -> None:
    server, received = start_echo_server()
    clock = [0.0]
    # From 0.5 s requests are delayed by 5 to 10 ms; from 1 s answers are dropped, but not requests; from 2 s
    # both directions are cut.
    slow = fault("g1", "counter", 500.0, 1000.0, LinkState(LinkStateKind.DELAY, 5.0, 5.0))
    drop = one_way_fault("counter", "g1", 1000.0, 2000.0)
    cut = partition_fault([{"g1"}, {"counter"}], 2000.0, FOREVER_MS)
    schedule = FaultSchedule([slow, drop, cut])
    proxy = TcpFaultProxy("g1", "counter", server.getsockname(), schedule, seed=3, clock=lambda: clock[0])
    with gevent.Timeout(TIMEOUT_SECONDS), socket.create_connection(proxy.address) as client:
        assert send_and_receive(client, b"one") == b"one"
        clock[0] = 0.7
        assert send_and_receive(client, b"slow") == b"slow"
        assert proxy.counts["g1>counter delayed"] == 4
        clock[0] = 1.5
        client.sendall(b"two")
        while proxy.counts["counter>g1 dropped"] < 3:
            gevent.sleep(POLL_SECONDS)
        assert received == [b"one", b"slow", b"two"]
        assert proxy.counts["g1>counter passed"] == 10
        clock[0] = 2.5
        with pytest.raises(ConnectionResetError):
            send_and_receive(client, b"three")
        with pytest.raises(ConnectionResetError), socket.create_connection(proxy.address) as late:
            late.recv(16)
    assert proxy.counts["g1>counter refused"] == 1
    assert b"three" not in received
    proxy.close()
    server.close()


def test_a_held_direction_keeps_bytes_and_forwards_them_where_the_connection_is_open() -> None:
    server, received = start_echo_server()
    clock = [0.0]
    hold = fault("g1", "core", 1000.0, 2000.0, LinkState(LinkStateKind.HOLD))
    schedule = FaultSchedule([hold])
    proxy = TcpFaultProxy("g1", "core", server.getsockname(), schedule, seed=3, clock=lambda: clock[0])
    with gevent.Timeout(TIMEOUT_SECONDS), socket.create_connection(proxy.address) as client:
        assert send_and_receive(client, b"one") == b"one"
        clock[0] = 1.5
        client.sendall(b"two")
        # A new connection is accepted, and forwarded to the callee after the hold.
        with socket.create_connection(proxy.address) as late:
            late.sendall(b"new")
            while not proxy.waiting_count:
                gevent.sleep(POLL_SECONDS)
            assert received == [b"one"]
            clock[0] = 2.5
            assert client.recv(16) == b"two"
            assert late.recv(16) == b"new"
    assert proxy.counts["g1>core held"] >= 3
    assert not proxy.waiting_count
    proxy.close()
    server.close()


def test_datagrams_are_dropped_one_way_duplicated_and_reordered_as_the_schedule_says() -> None:
    callee = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    callee.bind(("127.0.0.1", 0))
    clock = [0.0]
    schedule = FaultSchedule(
        [
            fault("g1", "g2", 1000.0, 2000.0, LinkState(LinkStateKind.DUPLICATE)),
            fault("g1", "g2", 2000.0, 3000.0, LinkState(LinkStateKind.REORDER)),
            one_way_fault("g2", "g1", 0.0, FOREVER_MS),
        ]
    )
    proxy = UdpFaultProxy("g1", "g2", callee.getsockname(), schedule, seed=3, clock=lambda: clock[0])
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    received = []
    with gevent.Timeout(TIMEOUT_SECONDS):
        caller.sendto(b"a", proxy.address)
        received.append(callee.recvfrom(64))
        # g1 receives nothing from g2.
        callee.sendto(b"answer", received[0][1])
        clock[0] = 1.5
        caller.sendto(b"b", proxy.address)
        received += [callee.recvfrom(64), callee.recvfrom(64)]
        clock[0] = 2.5
        caller.sendto(b"c", proxy.address)
        caller.sendto(b"d", proxy.address)
        received += [callee.recvfrom(64), callee.recvfrom(64)]
        while not proxy.counts["g2>g1 dropped"]:
            gevent.sleep(POLL_SECONDS)
    assert [data for data, _ in received] == [b"a", b"b", b"b", b"d", b"c"]
    assert proxy.counts["g2>g1 dropped"] == 1
    assert proxy.counts["g1>g2 reordered"] == 1
    proxy.close()
