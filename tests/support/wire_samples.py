"""Records the raw responses of a registry, a store and a proxy to a fixed sequence of requests.

The programs run as processes on loopback, one of each, with a stub worker; this module uses none of their
code. `python -m tests.support.wire_samples before TREE FILE` records the responses of commit 147a987, with
TREE a checkout of it. Values that vary between runs (ages, incarnations, the loopback network) are masked.
Keys of RPC responses are sorted, because their order depends on the order in which changes arrived.
"""

import argparse
import json
import os
import re
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing, contextmanager, suppress
from pathlib import Path
from typing import Any, Final

import cbor2

ROOT: Final = Path(__file__).parents[2]
PROGRAMS: Final = ("ashlift.configstore", "ashlift.registry", "ashlift.proxy")
PROGRAMS_OF_147A987: Final = ("vise", "pegboard", "lathe")
LOW_PORT: Final = 7600  # the store's RPC port; the registry uses the next
CONTROL, FRONT, READINESS, WORKER = 8200, 8206, 8201, 8080
STARTUP_TIMEOUT_S: Final = 20.0  # generous, for slow machines
HEAD: Final = struct.Struct(">II")
Address = tuple[str, int]
Samples = dict[str, str]

SETTINGS: Final = """\
NodeName = "{name}"
Role = "{role}"
MachineClass = "{kind}"
Serves = {serves}
Ip = "{ip}"
Zone = "z1"
Region = "r1"
InternalPortRange = [{low}, {high}]
SeedNodes = ["{core}:{control}"]
Bootstrap = {is_core}
QuorumMember = {is_core}
Discovery = "self_register"
EntryMode = "directory"
Heartbeat = "1500ms"
DataDirectory = "{folder}"

[Zones]
z1 = "r1"
z2 = "r2"

[Bindings]
{bindings}

[Limits]
FileDescriptors = 1024

[FaultTolerance]
Machines = 0
Zones = 0
Regions = 0
"""


def _settings(kind: str, ip: str, core: str, folder: Path) -> str:
    is_core = kind == "core"
    bindings = {"Control": CONTROL} if is_core else {"Front": FRONT, "Readiness": READINESS}
    return SETTINGS.format(
        name=f"{kind}-1",
        role="keeper" if is_core else "carrier",
        kind=kind,
        serves='["control", "directory"]' if is_core else '["edge"]',
        ip=ip,
        low=LOW_PORT,
        high=LOW_PORT + 15,
        core=core,
        control=CONTROL,
        is_core=str(is_core).lower(),
        folder=folder,
        bindings="\n".join(f'{name} = "{ip}:{port}"' for name, port in bindings.items()),
    )


class Worker:
    """A stub worker that records requests and responds with the status in the path (`/look/500`)."""

    def __init__(self, address: Address) -> None:
        self.requests: list[bytes] = []
        self._server = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with closing(sock):
            while request := read_message(sock):
                self.requests.append(request)
                sock.sendall(self._answer(request))

    @staticmethod
    def _answer(request: bytes) -> bytes:
        found = re.search(rb"/(\d{3})\b", request.partition(b"\r\n")[0])
        status = int(found[1]) if found else 200
        attempt = re.search(rb"(?i)x-attempt-id: (\S+)", request)
        head = b"HTTP/1.1 %d -\r\nX-Attempt-Id: %b\r\n" % (status, attempt[1] if attempt else b"")
        head += b"X-Server-Seal: seal-1\r\nX-Instance-Id: w1\r\nContent-Type: text/plain\r\n"
        return head + b"Content-Length: 11\r\n\r\nhello there"

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()


def read_message(sock: socket.socket) -> bytes:
    """Read one HTTP message with a Content-Length or no body; if the connection ends, the bytes received."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return data
        data += more
    length = re.search(rb"(?i)content-length: (\d+)", data)
    size = data.index(b"\r\n\r\n") + 4 + (int(length[1]) if length else 0)
    while len(data) < size and (more := sock.recv(65536)):
        data += more
    return data


def exchange(address: Address, data: bytes) -> bytes:
    """Send bytes and read until the peer closes the connection."""
    with socket.create_connection(address, timeout=10.0) as sock:
        sock.sendall(data)
        found = b""
        while more := sock.recv(65536):
            found += more
        return found


def http(address: Address, line: str, body: bytes = b"", **headers: str) -> bytes:
    """The response to one HTTP request on a connection of its own."""
    all_headers = {"Host": "app.example", "Connection": "close", **headers}
    if body and "Transfer_Encoding" not in headers:
        all_headers["Content-Length"] = str(len(body))
    lines = [
        f"{line} HTTP/1.1",
        *(f"{name.replace('_', '-')}: {value}" for name, value in all_headers.items()),
    ]
    return exchange(address, "\r\n".join([*lines, "", ""]).encode() + body)


def call(address: Address, method: str, body: Any) -> Any:
    """The decoded body of the response to one RPC."""
    data = cbor2.dumps([1, method, body])
    with socket.create_connection(address, timeout=10.0) as sock:
        sock.sendall(HEAD.pack(len(data), zlib.crc32(data, zlib.crc32(b"call"))) + data)
        found = b""
        while len(found) < HEAD.size or len(found) < HEAD.size + HEAD.unpack_from(found)[0]:
            more = sock.recv(65536)
            assert more, f"{method}: the connection ended"
            found += more
    _, check = HEAD.unpack_from(found)
    value = found[HEAD.size :]
    assert zlib.crc32(value, zlib.crc32(b"answer")) == check, f"{method}: the check of the answer fails"
    return cbor2.loads(value)


VARYING_KEYS: Final = "age|at_ms|born|heard|held|life|ran|round|run|silent|stamp|unheard|warm"
MASKS: Final = (
    (re.compile(r"127\.\d+\."), "127.N."),
    (re.compile(r"-1#[0-9a-f]{8}"), "-1#LIFE"),
    (re.compile(rf'("(?:{VARYING_KEYS})": ?)(?:\[[^]]*\]|[^],}}]+)'), r"\1MASKED"),
    (re.compile(r'("version": ?)\d+'), r"\1MASKED"),  # of a source: its number of changes
    (re.compile(r"(X-Time-Remaining: )\d+"), r"\1MASKED"),
    (re.compile(r"(Retry-After: )\d+\.\d{3}"), r"\1MASKED"),
)


def mask_varying_values(text: str) -> str:
    """The text with varying values masked, and then also the Content-Length."""
    found = text
    for pattern, instead in MASKS:
        found = pattern.sub(instead, found)
    return re.sub(r"Content-Length: \d+", "Content-Length: MASKED", found) if found != text else found


def _free_net() -> int:
    """The second octet of an unused loopback network; three digits, so that message lengths do not vary."""
    for number in range(150):
        net = 100 + (os.getpid() + number) % 150
        with suppress(OSError), ExitStack() as stack:
            for address in (
                (f"127.{net}.1.1", LOW_PORT),
                (f"127.{net}.2.1", FRONT),
                (f"127.{net}.3.1", WORKER),
            ):
                stack.enter_context(socket.create_server(address))
            return net
    raise OSError("no unused loopback network in 127.100.0.0 to 127.249.0.0")


class System:
    """The three programs and the stub worker, on addresses of one loopback network."""

    def __init__(self, tree: Path, programs: tuple[str, str, str], folder: Path) -> None:
        net = _free_net()
        self.core, self.edge, self.worker_ip = (f"127.{net}.{role}.1" for role in (1, 2, 3))
        self.store, self.calls = (self.core, LOW_PORT), (self.core, LOW_PORT + 1)
        self.registry, self.front = (self.core, CONTROL), (self.edge, FRONT)
        self.readiness = (self.edge, READINESS)
        self._tree, self._folder = tree, folder
        self._programs = dict(zip(programs, ("core", "core", "edge"), strict=True))

    @contextmanager
    def running(self) -> Iterator["Worker"]:
        """Run the programs within the context; yields the stub worker."""
        with ExitStack() as stack:
            worker = Worker((self.worker_ip, WORKER))
            stack.callback(worker.close)
            for program, kind in self._programs.items():
                stack.callback(_stop, self._start(program, kind))
            yield worker

    def _start(self, program: str, kind: str) -> subprocess.Popen[bytes]:
        ip = self.core if kind == "core" else self.edge
        path = self._folder / f"{kind}.toml"
        path.write_text(_settings(kind, ip, self.core, self._folder / "data"))
        usual = {"PYTHONHASHSEED": "0", "PYTHONDONTWRITEBYTECODE": "1"}  # a fixed order of sets in responses
        env = {**os.environ, **usual, "ASHLIFT_SETTINGS": str(path)}
        with (self._folder / f"{program}.log").open("wb") as log:
            command = [sys.executable, "-m", program]
            return subprocess.Popen(command, env=env, cwd=self._tree, stdout=log, stderr=log)


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


def wait_until(found: Callable[[], bytes], wanted: bytes) -> bytes:
    """Repeat a request until the response contains `wanted`; raises TimeoutError after STARTUP_TIMEOUT_S."""
    end = time.monotonic() + STARTUP_TIMEOUT_S
    answer = b""
    while time.monotonic() < end:
        try:
            answer = found()
        except OSError:
            answer = b""
        if wanted in answer:
            return answer
        time.sleep(0.1)
    raise TimeoutError(f"{wanted!r} is not in the response within {STARTUP_TIMEOUT_S} s: {answer!r}")


def _object(kind: str, name: str, **specification: Any) -> dict[str, Any]:
    return {"ObjectType": kind, "Metadata": {"Name": name}, "Specification": specification}


def _route(name: str, **more: Any) -> dict[str, Any]:
    usual = {"RouteType": "idempotent", "Timeout": "3000ms", "Service": "fleet", "MaxAttempts": 2}
    return _object("Routes", name, Host="app.example", PathPrefix=f"/{name}/", **usual, **more)


def configuration(version: int, *more: dict[str, Any]) -> bytes:
    """A complete configuration as an operator sends it."""
    objects = [
        _route("look", Anonymous=True),
        _route("hold", Anonymous=False),
        _object("Services", "fleet", HealthCheck="/health", MaxConnections=10),
        _object("Tenants", "t1", ApiKeys=["k1"], RatePerS=500, BurstSize=500),
        _object("Tenants", "t2", ApiKeys=["k2"], RatePerS=0.001, BurstSize=1),
        *more,
    ]
    return json.dumps({"ConfigVersion": f"{version:08x}", "Objects": objects}).encode()


HEARTBEAT: Final[dict[str, Any]] = {
    "NodeInfo": {"Service": "fleet", "Zone": "z1", "Capacity": 4, "ConfigVersion": "v1"},
    "Status": {"State": "ready", "CallSeq": 7, "WarmupLeft": "0ms"},
}
PULL: Final = {
    "node": "edge-9",
    "incarnation": "0badcafe",
    "zone": "z2",
    "region": "r2",
    "front": "",
    "ready": False,
    "have": {},
    "wait": 0.0,
    "outs": [],
    "faults": {},
    "packs": False,
    "part": None,
    "eager": False,
    "adds": {"number": 1, "counts": {}},
}


WAITING_EDIT: Final[dict[str, Any]] = {
    "id": "e3",
    "name": "more",
    "version": "00000003",
    "stamp": [1_790_000_000_000, 1, "core-1"],
    "who": "A",
    "where": "core-1",
    "auto": False,
    "doubt": False,
}
LOOKUP: Final = "GET /lookup?Name=edge&Zone=z1&Region=r1"


class Recording:
    """The responses by request title."""

    def __init__(self, system: System, worker: Worker) -> None:
        self._system, self._worker = system, worker
        self.samples: Samples = {}

    def _keep(self, name: str, answer: bytes) -> None:
        self.samples[name] = mask_varying_values(answer.decode("latin-1"))

    def _http(self, line: str, body: bytes = b"", name: str = "", **headers: str) -> None:
        self._keep(f"registry: {line} {name}".strip(), http(self._system.registry, line, body, **headers))

    def _order(self, line: str, body: bytes = b"", name: str = "", **headers: str) -> None:
        """An operator's command, repeated while the response is 307 or 503 (possible on a busy machine)."""
        registry = self._system.registry
        end, answer = time.monotonic() + STARTUP_TIMEOUT_S, b""
        while time.monotonic() < end:
            answer = http(registry, line, body, **headers)
            if answer.split(b" ", 2)[1] not in (b"307", b"503"):
                break
            time.sleep(0.1)
        self._keep(f"registry: {line} {name}".strip(), answer)

    def _call(self, address: Address, what: str, method: str, body: Any, name: str = "") -> None:
        answer = json.dumps(call(address, method, body), default=bytes.hex, sort_keys=True)
        self.samples[f"{what}: {method} {name}".strip()] = mask_varying_values(answer)

    def _client(self, line: str, body: bytes = b"", name: str = "", **headers: str) -> None:
        """A client's request; also records the request that the proxy forwards to the worker, if any."""
        number = len(self._worker.requests)
        title = f"proxy: {line} {name}".strip()
        request_headers = {"X-Attempt-Id": f"a{len(self.samples)}", **headers}
        self._keep(title, http(self._system.front, line, body, **request_headers))
        forwarded = b"".join(one for one in self._worker.requests[number:] if b" /health " not in one)
        self._keep(f"{title}, at the worker", forwarded)

    def run(self) -> Samples:
        """Send all requests in order and return the samples."""
        registry = self._system.registry
        wait_until(lambda: http(registry, "GET /config"), b" 404 ")
        self._configurations()
        self._workers()
        self._routes()
        self._wrong_requests()
        wait_until(lambda: http(self._system.readiness, "GET /readiness"), b" 200 ")
        wait_until(lambda: http(registry, LOOKUP), f":{FRONT}".encode())
        self._calls()
        wait_until(
            lambda: http(self._system.front, "GET /look/200", X_Attempt_Id=f"{time.monotonic()}"), b" 200 "
        )
        self._clients()
        self._edits()
        return self.samples

    def _configurations(self) -> None:
        self._order("GET /config", name="before there is one")
        self._order("PUT /config", configuration(1), If_Match="00000000")
        self._order("PUT /config", configuration(1), "again", If_Match="00000000")
        self._order("PUT /config", configuration(2, _route("more")), "on an old one", If_Match="00000009")
        self._order("PUT /config", b"{", "no JSON", If_Match="00000001")
        self._order("PUT /config", b"[]", "no object", If_Match="00000001")
        bad = configuration(2, _route("bad", Nothing=True), _object("Tenants", "t3", ApiKeys=["k1"]))
        self._order("PUT /config", bad, "not sound", If_Match="00000001")
        patch = {"ConfigVersion": "00000002", "Upsert": {"Objects": [_route("more")]}, "Withdraw": {}}
        self._order("PATCH /config", json.dumps(patch).encode(), If_Match='"00000001"')
        self._order("GET /config")
        for method in ("POST", "DELETE"):
            for zone in ("z2", "nowhere"):
                self._order(f"{method} /evacuation/{zone}")

    def _workers(self) -> None:
        address = f"{self._system.worker_ip}:{WORKER}"
        self._http("PUT /instances/w1", json.dumps({**HEARTBEAT, "Address": address}).encode())
        late = {**HEARTBEAT, "Address": address, "Status": {**HEARTBEAT["Status"], "CallSeq": 3}}
        self._http("PUT /instances/w1", json.dumps(late).encode(), "too late")
        self._http(
            "PUT /instances/w2", json.dumps({**HEARTBEAT, "Address": "10.0.0.1:0"}).encode(), "no port"
        )
        self._http("PUT /instances/w2", json.dumps(HEARTBEAT).encode(), "no address")
        self._http("PUT /instances/a/b", b"{}", "no id")
        self._http("DELETE /instances/w3")
        self._order("GET /members")
        self._order("POST /members", b'{"Do": "grow", "Ip": "10.0.0.9"}', "no order")
        self._order("POST /members", b'{"Do": "remove", "Ip": "10.0.0.9"}', "no member")

    def _routes(self) -> None:
        self._order("GET /routes/look")
        self._order("GET /routes/nowhere")
        self._http("POST /routes/look", b'{"id": "e1"}', "not whole")
        self._order("GET /proposals")
        self._http("POST /proposals/e1", b'{"word": "confirm", "who": "A"}', "not there")
        self._http("POST /proposals/e1", b'{"word": "perhaps"}', "no word")

    def _wrong_requests(self) -> None:
        self._http("GET /nowhere")
        self._http("DELETE /config")
        self._http("TRACE /config")
        self._http("GET /nowhere", name="with too many headers", X_Long="x" * 100_000)
        self._http("PUT /instances/w9", b"", "too large", Content_Length=str(1 << 20))
        self._keep("registry: not HTTP", exchange(self._system.registry, b"hello\r\n\r\n"))

    def _calls(self) -> None:
        registry, store = self._system.calls, self._system.store
        self._http(LOOKUP)
        self._http("GET /status")
        self._call(registry, "registry", "pull", PULL)
        self._call(registry, "registry", "swap", {})
        self._call(registry, "registry", "nothing", {})
        self._call(store, "store", "read", {})
        self._call(store, "store", "watch", {"have": 0, "wait": 0.0})
        self._call(store, "store", "submit", {"kind": "put"})
        self._call(store, "store", "drafts", {"add": []})
        self._call(store, "store", "members", {"do": "show", "ip": ""})
        self._call(store, "store", "nothing", {})

    def _edits(self) -> None:
        text = _route("more")["Specification"]
        edit = {"id": "e1", "who": "A", "text": {**text, "MaxAttempts": 3}, "base": text}
        self._order("POST /routes/more", json.dumps(edit).encode(), "in force")
        self._order("POST /routes/more", json.dumps({**edit, "id": "e2"}).encode(), "on an old text")
        wait_until(lambda: http(self._system.registry, "GET /routes/more"), b'"version":"00000003"')
        waits = {**WAITING_EDIT, "text": {**text, "MaxAttempts": 1}, "base": {**text, "MaxAttempts": 3}}
        self._call(self._system.store, "store", "drafts", {"add": [waits]}, "with an edit")
        self._order("GET /proposals", name="with one")
        self._order("GET /routes/more", name="with a history")
        rejection = json.dumps({"word": "reject", "who": "B", "version": "00000003"}).encode()
        self._order("POST /proposals/e3", rejection.replace(b"00000003", b"00000002"), "on an old version")
        self._order("POST /proposals/e3", rejection, "rejected")
        wait_until(lambda: http(self._system.registry, "GET /routes/more"), b'"outcome":"rejected"')
        self._order("POST /proposals/e3", rejection, "rejected again")
        self._order("GET /config", name="at the end")

    def _clients(self) -> None:
        key = {"Authorization": "Bearer k1"}
        self._client("GET /look/200?a=b")
        self._client("HEAD /look/200")
        self._client("GET /look/404")
        self._client("POST /hold/200", b"some bytes", **key)
        self._client(
            "POST /hold/200", b"5\r\nhello\r\n0\r\n\r\n", "in chunks", **key, Transfer_Encoding="chunked"
        )
        self._client("POST /hold/200", b"x", "without a key")
        self._client("POST /hold/200", b"x", "with a key that is none", Authorization="Bearer none")
        self._client("GET /nowhere/x")
        self._client("GET /look/200", name="with headers of its own", Te="trailers", X_Tenant="t9", X_Own="1")
        self._client("GET /look/200", name="with too little time", X_Time_Remaining="0")
        self._client("GET /hold/200", name="at the limit", Authorization="Bearer k2")
        self._client("GET /hold/200", name="over the limit", Authorization="Bearer k2")
        self._keep("proxy: not HTTP", exchange(self._system.front, b"hello\r\n\r\n"))
        self._keep("proxy: GET /readiness", http(self._system.readiness, "GET /readiness"))
        self._keep("proxy: GET /nowhere", http(self._system.readiness, "GET /nowhere"))


def record_responses(tree: Path = ROOT, programs: tuple[str, str, str] = PROGRAMS) -> Samples:
    """Record the responses of the programs in a source tree."""
    with tempfile.TemporaryDirectory() as name:
        system = System(tree, programs, Path(name))
        with system.running() as worker:
            return Recording(system, worker).run()


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m tests.support.wire_samples", description="Record answers."
    )
    parser.add_argument(
        "which", choices=["before", "now"], help="commit 147a987, or the current package layout"
    )
    parser.add_argument("tree", type=Path, help="the checkout")
    parser.add_argument("file", type=Path, help="the record to write")
    options = parser.parse_args(arguments)
    samples = record_responses(
        options.tree.resolve(), PROGRAMS_OF_147A987 if options.which == "before" else PROGRAMS
    )
    options.file.write_text(json.dumps(samples, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
