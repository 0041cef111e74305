"""Contents of requests and answers that let each end verify what it receives. Pure."""

import hashlib
from typing import Final, NamedTuple

from ashlift.simulation.history import Request

SEAL_CHARACTERS: Final = 24
DIGEST_CHARACTERS: Final = 12
ANSWER_BODY_BYTES: Final = 200


class RequestContent(NamedTuple):
    """The parts of a request that must reach the worker unchanged."""

    method: bytes
    target: bytes
    body: bytes


def content_of(request: Request) -> RequestContent:
    """Return what clients send: a GET for an idempotent request, otherwise a POST with a body."""
    if request.idempotent:
        return RequestContent(b"GET", request.path.encode(), b"")
    return RequestContent(b"POST", request.path.encode(), f"request {request.id}".encode())


def answer_seal(worker_id: str, attempt_id: str, arrival_number: int) -> str:
    """Return the seal of an answer, unique to that answer."""
    text = f"{worker_id}.{attempt_id}.{arrival_number}"
    return hashlib.sha256(text.encode()).hexdigest()[:SEAL_CHARACTERS]


def answer_body(seal: str) -> bytes:
    """Return the body of an answer with this seal."""
    return (seal.encode() * (ANSWER_BODY_BYTES // SEAL_CHARACTERS + 1))[:ANSWER_BODY_BYTES]


def answer_fingerprint(seal: str, body: bytes) -> str:
    """Return the seal and a digest of the body, which worker and client must agree on."""
    return f"{seal}.{hashlib.sha256(body).hexdigest()[:DIGEST_CHARACTERS]}"
