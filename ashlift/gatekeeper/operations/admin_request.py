"""Parses the method and target of an admin request. No I/O."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote

MAX_WORKER_ID_LENGTH = 256


class RequestKind(Enum):
    """The operations of the admin port."""

    STATUS = "status"  # GET /status: whether this process is ready to serve
    METRICS = "metrics"  # GET /status/metrics: statsd lines
    ENTER = "enter"  # POST /maintenance/enter/ID: take worker ID out of rotation
    EXIT = "exit"  # POST /maintenance/exit/ID: return it to rotation
    STANDBY = "standby"  # POST /standby: drain client connections
    ACTIVE = "active"  # POST /active: end the drain


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A valid admin request."""

    kind: RequestKind
    worker: str = ""  # of ENTER and EXIT


class RequestError(Exception):
    """A request is rejected with this status; for 405, `allow` lists the methods of the path."""

    def __init__(self, status: HTTPStatus, reason: str, allow: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.status, self.reason, self.allow = status, reason, allow


READS = {"/status": RequestKind.STATUS, "/status/metrics": RequestKind.METRICS}
PHASE_CHANGES = {"/standby": RequestKind.STANDBY, "/active": RequestKind.ACTIVE}
MAINTENANCE_PREFIXES = {
    "/maintenance/enter/": RequestKind.ENTER,
    "/maintenance/exit/": RequestKind.EXIT,
}


def parse_request(method: bytes, target: bytes) -> AdminRequest:
    """Parses a request line; raises RequestError with 404, 405 or 400.

    The query is ignored. A worker's id is percent-decoded and must be printable, without a slash.
    """
    path = target.split(b"?", 1)[0].decode("latin-1")
    verb = method.decode("latin-1")
    if path in READS:
        return _check_method(verb, ("GET", "HEAD"), AdminRequest(READS[path]))
    if path in PHASE_CHANGES:
        return _check_method(verb, ("POST",), AdminRequest(PHASE_CHANGES[path]))
    for prefix, kind in MAINTENANCE_PREFIXES.items():
        if path.startswith(prefix):
            try:
                worker = unquote(path[len(prefix) :], errors="strict")
            except UnicodeDecodeError:
                raise RequestError(HTTPStatus.BAD_REQUEST, "a worker's id that is no UTF-8") from None
            if not worker or "/" in worker or len(worker) > MAX_WORKER_ID_LENGTH or not worker.isprintable():
                raise RequestError(HTTPStatus.BAD_REQUEST, f"not a worker's id: {worker[:64]!r}")
            return _check_method(verb, ("POST",), AdminRequest(kind, worker))
    raise RequestError(HTTPStatus.NOT_FOUND, f"no such call: {path[:64]}")


def _check_method(verb: str, allow: tuple[str, ...], request: AdminRequest) -> AdminRequest:
    if verb not in allow:
        raise RequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"{verb} is not one of {', '.join(allow)}", allow)
    return request
