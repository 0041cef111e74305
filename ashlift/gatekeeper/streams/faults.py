"""What may go wrong with a stream, and what follows: one table for the code and the operators' page."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from ashlift.gatekeeper.admission.interface import Result


@dataclass(frozen=True, slots=True)
class FaultEffects:
    """What a fault leads to. `status` is what the client gets where the answer's head has not gone out (None:
    nobody is there to read one); after it the answer is cut. `result` is what the module is told of the claim
    once the request is written whole: before that, it never ran."""

    name: str
    status: HTTPStatus | None
    result: Result


class Fault(Enum):
    """Each has a stable name: in the log line, and in the counter `streams.failed.NAME`."""

    CLIENT_DISCONNECTED = FaultEffects("client_left", None, Result.CANCELLED)
    CLIENT_STALLED = FaultEffects("client_stalled", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_SLOW = FaultEffects("client_slow", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_MALFORMED = FaultEffects("client_spoilt", HTTPStatus.BAD_REQUEST, Result.CANCELLED)
    REQUEST_TOO_LONG = FaultEffects("request_too_long", HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Result.CANCELLED)
    NODE_STALLED = FaultEffects("node_stalled", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_SLOW = FaultEffects("node_slow", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    HEAD_TIMEOUT = FaultEffects("head_late", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_RESET = FaultEffects("node_reset", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_MALFORMED = FaultEffects("node_spoilt", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_ERROR = FaultEffects("node_error", HTTPStatus.BAD_GATEWAY, Result.ERROR)
    RESPONSE_TOO_LONG = FaultEffects("answer_too_long", HTTPStatus.BAD_GATEWAY, Result.RESET)
    TOTAL_TIMEOUT = FaultEffects("overtime", HTTPStatus.GATEWAY_TIMEOUT, Result.CANCELLED)
    SHUTDOWN = FaultEffects("shutdown", HTTPStatus.SERVICE_UNAVAILABLE, Result.CANCELLED)
    WITHDRAWN = FaultEffects("withdrawn", HTTPStatus.BAD_GATEWAY, Result.CANCELLED)
    # Not failures: the body that came in is not wanted any more.
    EARLY_RESPONSE = FaultEffects("early_answer", None, Result.OK)
    FINISHED = FaultEffects("answered", None, Result.CANCELLED)

    @property
    def label(self) -> str:
        return self.value.name


class AbortedError(Exception):
    """A body was broken off; carries why."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.label)
        self.fault = fault
