"""Plays a recorded exchange against the gatekeeper in this process, and compares every byte.

An exchange is a text file. `c1`, `c2` are clients, `n1`, `n2` execute nodes, `k` the counter, `d` discovery:

    c1 > LINE      send a line (CRLF is added)     c1 >> TEXT    send as it is; {x*9} repeats, \\n ends lines
    d ># LINE      send one chunk that holds this line
    n1 < LINE      the next line must be this; * is anything        n1 << TEXT    the next bytes must be
    n1 close       close the connection (or `reset` it)           n1 closed     the program must end it
    n1 stop        refuse connections from now on   expect NAME N   wait until the program's counter is N
    job c1 a1 2    a block of lines that is defined in the file `blocks`
    wait MS        wait for at least this time, so that pending timers expire
    move d2 k2     discovery and counter are at these addresses from now on
    set KEY VALUE  a setting (dotted, JSON); comes first
    own TEXT       text of the program's settings file; comes first
    c1 gone        the program resets the connection

Connections are opened or accepted on first use; `k.2` is a second one to `k`. Each wait is limited by WAIT_S.
"""

import contextlib
import copy
import json
import re
import struct
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.config import Config, read
from ashlift.gatekeeper.settings.schema import parse_settings
from tests.gatekeeper.test_wirehost import FACTS

WAIT_S = 10.0
SERVERS = ("n1", "n2", "k", "k2", "d", "d2")


def config(addresses: dict[str, str], changes: dict[str, Any], own: str = "") -> Config:
    """The configuration of a small deployment, with changes to it and the text of a settings file."""
    facts = copy.deepcopy(FACTS)
    facts["Categories"][0] |= {"Name": "availability-check", "TargetMs": 20_000.0, "GiveUpMs": 30_000.0}
    facts["Plans"][0] |= {"Name": "basic", "QuotaRate": 0.01, "MostAtOnce": 100.0}
    facts["FamilyInfo"]["CounterTimeoutMs"] = 20_000
    facts["Limits"]["TryLimit"] = 3
    facts["Zones"] = ["memphis-dc"]
    found = {
        "name": "g1",
        "listen": "127.0.0.1:1",
        "discovery": addresses["d"],
        "counter": addresses["k"],
        "seed": "1",
        "limits": {"sockets": 512},
        "settings": facts,
        "known": {"generation": 7, "reset": True, "instances": [instance("n1", addresses["n1"])]},
    }
    for path, value in changes.items():
        *steps, last = path.split(".")
        at: Any = found
        for step in steps:
            at = at[int(step)] if isinstance(at, list) else at[step]
        at[int(last) if isinstance(at, list) else last] = value
    ours = parse_settings(f"(ashlift {own})", "own").settings
    return replace(read(found, {}), listen=("127.0.0.1", 0), features=ours)


def instance(name: str, address: str, state: str = "ready") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": address, "lifecycle": state, "startedAtMs": 0}


class Exchange:
    """The gatekeeper and its simulated peers."""

    def __init__(self, changes: dict[str, Any], own: str = "") -> None:
        self.listeners = {name: listen() for name in SERVERS}
        self.addresses = {name: "{}:{}".format(*sock.getsockname()) for name, sock in self.listeners.items()}
        self.gatekeeper = Gatekeeper(config(self.addresses, changes, own))
        self.front = self.gatekeeper.start()
        self.open: dict[str, Any] = {}

    def close(self) -> None:
        for sock in (*self.open.values(), *self.listeners.values()):
            sock.close()
        self.gatekeeper.stop(0.0)

    def sock(self, name: str) -> Any:
        if name not in self.open:
            server = self.listeners.get(name.partition(".")[0])
            self.open[name] = server.accept()[0] if server else socket.create_connection(self.front)
        return self.open[name]

    def line(self, text: str) -> None:
        """Play one line of an exchange."""
        for name, address in self.addresses.items():
            text = re.sub(rf"\${name}\b", address, text)
        who, verb, rest = (text.split(" ", 2) + ["", ""])[:3]
        rest = rest.replace("\\n", "\r\n")
        rest = re.sub(r"\{(.)\*(\d+)\}", lambda m: m[1] * int(m[2]), rest)
        if who == "wait":
            gevent.sleep(int(verb) / 1000)
        elif who == "expect":
            while self.gatekeeper.metrics.counts[verb] != int(rest):
                gevent.sleep(0.005)
        elif who == "move":
            assert self.gatekeeper.counter is not None
            self.gatekeeper.machines.change_address(self.listeners[verb].getsockname())
            self.gatekeeper.counter.change_address(self.listeners[rest].getsockname())
        elif verb in (">", ">>"):
            self.sock(who).sendall(rest.encode() + (b"\r\n" if verb == ">" else b""))
        elif verb == ">#":
            self.sock(who).sendall(f"{len(rest) + 1:x}\r\n{rest}\n\r\n".encode())
        elif verb == "<":
            got = b""
            while not got.endswith(b"\n"):
                byte = self.sock(who).recv(1)
                assert byte, f"the connection ended after {got!r}"
                got += byte
            pattern = re.escape(rest).replace(r"\*", ".*")
            assert re.fullmatch(pattern, got.decode().removesuffix("\r\n")), got
        elif verb == "<<":
            got = b""
            while len(got) < len(rest) and (more := self.sock(who).recv(len(rest) - len(got))):
                got += more
            assert got.decode() == rest
        elif verb == "closed":
            with contextlib.suppress(ConnectionError):
                assert self.open.pop(who).recv(1) == b""
        elif verb == "gone":
            try:
                while self.sock(who).recv(65536):
                    pass
                raise AssertionError("the connection was closed, not reset")
            except ConnectionError:
                self.open.pop(who).close()
        elif verb == "reset":
            self.sock(who).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.open.pop(who).close()
        elif verb == "close":
            self.open.pop(who).close()
        elif verb == "stop":
            self.listeners[who].close()
        else:
            raise ValueError(f"unknown command: {text}")


def listen() -> Any:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


def blocks(path: Path) -> dict[str, list[str]]:
    """The named blocks of a file. The last argument of a line that uses a block may contain spaces."""
    parts = ("\n" + path.read_text()).split("\n= ")[1:]
    return {name: lines for name, *lines in (part.splitlines() for part in parts)}


def expand(line: str, known: dict[str, list[str]]) -> list[str]:
    name, _, rest = line.partition(" ")
    if name not in known:
        return [line]
    text = "\n".join(known[name])
    count = max(int(digit) for digit in re.findall(r"\$(\d)", text))
    for at, argument in enumerate(rest.split(" ", count - 1), 1):
        text = text.replace(f"${at}", argument)
    return text.splitlines()


def play(path: Path) -> None:
    known = blocks(path.parent / "blocks")
    written = [line for line in path.read_text().splitlines() if line.strip() and not line.startswith("#")]
    lines = [line for short in written for line in expand(short, known)]
    changes = [line.split(" ", 2) for line in lines if line.startswith("set ")]
    own = " ".join(line[4:] for line in lines if line.startswith("own "))
    exchange = Exchange({key: json.loads(value) for _, key, value in changes}, own)
    try:
        for line in lines:
            if not line.startswith(("set ", "own ")):
                with gevent.Timeout(
                    WAIT_S, AssertionError(f"{path.name}: no reaction within {WAIT_S} s to: {line}")
                ):
                    exchange.line(line)
    finally:
        exchange.close()
