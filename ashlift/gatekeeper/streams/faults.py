"""What may go wrong with a stream, and what follows: one table for the code and the operators' page."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from ashlift.gatekeeper.admission.interface import Result


@dataclass(frozen=True, slots=True)
class Ends:
    """What a fault leads to. `status` is what the client gets where the answer's head has not gone out (None:
    nobody is there to read one); after it the answer is cut. `result` is what the module is told of the claim
    once the request is written whole: before that, it never ran."""

    name: str
    status: HTTPStatus | None
    result: Result


class Fault(Enum):
    """Each has a stable name: in the log line, and in the counter `streams.failed.NAME`."""

    CLIENT_LEFT = Ends("client_left", None, Result.CANCELLED)
    CLIENT_STALLED = Ends("client_stalled", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_SLOW = Ends("client_slow", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_SPOILT = Ends("client_spoilt", HTTPStatus.BAD_REQUEST, Result.CANCELLED)
    REQUEST_TOO_LONG = Ends("request_too_long", HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Result.CANCELLED)
    NODE_STALLED = Ends("node_stalled", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_SLOW = Ends("node_slow", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    HEAD_LATE = Ends("head_late", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_RESET = Ends("node_reset", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_SPOILT = Ends("node_spoilt", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_ERROR = Ends("node_error", HTTPStatus.BAD_GATEWAY, Result.ERROR)
    ANSWER_TOO_LONG = Ends("answer_too_long", HTTPStatus.BAD_GATEWAY, Result.RESET)
    OVERTIME = Ends("overtime", HTTPStatus.GATEWAY_TIMEOUT, Result.CANCELLED)
    SHUTDOWN = Ends("shutdown", HTTPStatus.SERVICE_UNAVAILABLE, Result.CANCELLED)
    WITHDRAWN = Ends("withdrawn", HTTPStatus.BAD_GATEWAY, Result.CANCELLED)
    # Not failures: the body that came in is not wanted any more.
    EARLY_ANSWER = Ends("early_answer", None, Result.OK)
    ANSWERED = Ends("answered", None, Result.CANCELLED)

    @property
    def label(self) -> str:
        return self.value.name


class BrokenOffError(Exception):
    """A body was broken off; carries why."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.label)
        self.fault = fault
