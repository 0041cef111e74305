"""What one call at the operators' door asks, from its method and target. No sockets."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote

WORKER_MOST = 256  # bytes of a worker's id


class Kind(Enum):
    """The door's calls, as the operators name them."""

    STATUS = "status"  # GET /status: whether this process is ready to serve
    METRICS = "metrics"  # GET /status/metrics: the figures
    ENTER = "enter"  # POST /maintenance/enter/ID: take worker ID out
    EXIT = "exit"  # POST /maintenance/exit/ID: put it back
    STANDBY = "standby"  # POST /standby: drain
    ACTIVE = "active"  # POST /active: back to work


@dataclass(frozen=True, slots=True)
class Call:
    kind: Kind
    worker: str = ""  # of ENTER and EXIT


class CallError(Exception):
    """A call that is not taken: the status to answer with, and for 405 the methods that the path allows."""

    def __init__(self, status: HTTPStatus, why: str, allow: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.status, self.why, self.allow = status, why, allow


READS = {"/status": Kind.STATUS, "/status/metrics": Kind.METRICS}
COMMANDS = {"/standby": Kind.STANDBY, "/active": Kind.ACTIVE}
WORKERS = {"/maintenance/enter/": Kind.ENTER, "/maintenance/exit/": Kind.EXIT}


def route(method: bytes, target: bytes) -> Call:
    """The call that a request line names; raises CallError with 404, 405 or 400.

    A query is passed over; a worker's id is percent-decoded and must be printable, without a slash.
    """
    path = target.split(b"?", 1)[0].decode("latin-1")
    verb = method.decode("latin-1")
    if path in READS:
        return _allowed(verb, ("GET", "HEAD"), Call(READS[path]))
    if path in COMMANDS:
        return _allowed(verb, ("POST",), Call(COMMANDS[path]))
    for prefix, kind in WORKERS.items():
        if path.startswith(prefix):
            try:
                worker = unquote(path[len(prefix) :], errors="strict")
            except UnicodeDecodeError:
                raise CallError(HTTPStatus.BAD_REQUEST, "a worker's id that is no UTF-8") from None
            if not worker or "/" in worker or len(worker) > WORKER_MOST or not worker.isprintable():
                raise CallError(HTTPStatus.BAD_REQUEST, f"not a worker's id: {worker[:64]!r}")
            return _allowed(verb, ("POST",), Call(kind, worker))
    raise CallError(HTTPStatus.NOT_FOUND, f"no such call: {path[:64]}")


def _allowed(verb: str, allow: tuple[str, ...], call: Call) -> Call:
    if verb not in allow:
        raise CallError(HTTPStatus.METHOD_NOT_ALLOWED, f"{verb} is not one of {', '.join(allow)}", allow)
    return call
