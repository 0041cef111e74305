"""What the clients' requests and the workers' answers hold, so that each end can check what came. Pure."""

import hashlib
from typing import Final, NamedTuple

from ashlift.simulation.history import Request

SEAL_CHARACTERS: Final = 24
DIGEST_CHARACTERS: Final = 12
ANSWER_BODY_BYTES: Final = 200


class RequestContent(NamedTuple):
    """What a request must still be when it comes to a worker."""

    method: bytes
    target: bytes
    body: bytes


def content_of(request: Request) -> RequestContent:
    """Return what the clients send for a request: a GET where it is idempotent, else a POST with a body."""
    if request.idempotent:
        return RequestContent(b"GET", request.path.encode(), b"")
    return RequestContent(b"POST", request.path.encode(), f"request {request.id}".encode())


def answer_seal(worker_id: str, attempt_id: str, arrival_number: int) -> str:
    """Return the text in an answer that no other answer has."""
    text = f"{worker_id}.{attempt_id}.{arrival_number}"
    return hashlib.sha256(text.encode()).hexdigest()[:SEAL_CHARACTERS]


def answer_body(seal: str) -> bytes:
    """Return the body of an answer with this seal."""
    return (seal.encode() * (ANSWER_BODY_BYTES // SEAL_CHARACTERS + 1))[:ANSWER_BODY_BYTES]


def answer_fingerprint(seal: str, body: bytes) -> str:
    """Return what must be equal at the worker and at the client: the seal, and a digest of the body."""
    return f"{seal}.{hashlib.sha256(body).hexdigest()[:DIGEST_CHARACTERS]}"
