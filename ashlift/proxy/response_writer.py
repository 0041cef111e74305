"""Writes one response to a client: at once if it is short, in parts if it is long or still being received."""

from collections.abc import Callable, Iterator
from typing import Final

import gevent

from ashlift.gatekeeper.net.http_response import MalformedResponseError
from ashlift.proxy.request_reader import ClientRequest
from ashlift.proxy.responses import ClientResponse, ResponseSource, has_body, render, render_head

MAX_JOINED_BYTES: Final = 16 << 10  # a longer body is not copied for the sake of a single write
HEAD_METHOD: Final = b"HEAD"
LAST_CHUNK: Final = b"0\r\n\r\n"


class ResponseWriter:
    """Writes a response with `write`, which raises OSError if the client has gone or does not read."""

    def __init__(self, write: Callable[[bytes], None], request: ClientRequest) -> None:
        self._write = write
        self._request = request

    def write(self, response: ClientResponse, keep_alive: bool) -> bool:
        """Write the response; returns whether it is complete: False if its worker broke it off."""
        if response.stream is not None:
            return self._relay(response, response.stream, keep_alive)
        without_body = self._request.method == HEAD_METHOD or not has_body(response.status)
        if not without_body and (response.body_bytes or 0) <= MAX_JOINED_BYTES:
            self._write(render(response, keep_alive))
            return True
        self._write(render_head(response, keep_alive))
        if not without_body:
            for part in response.parts:
                self._write(part)
        return True

    def _relay(self, response: ClientResponse, stream: ResponseSource, keep_alive: bool) -> bool:
        """Write the parts of a response as they are received."""
        accepts_chunks = self._request.accepts_chunks
        is_chunked = response.body_bytes is None and accepts_chunks
        self._write(render_head(response, keep_alive, accepts_chunks))
        for part in _received_parts(stream):
            if part is None:
                return False
            self._write(b"%x\r\n%b\r\n" % (len(part), part) if is_chunked else part)
            gevent.sleep(0)  # others have their turn, even if neither side is slower than this
        if is_chunked:
            self._write(LAST_CHUNK)
        return True


def _received_parts(stream: ResponseSource) -> Iterator[bytes | None]:
    """The parts of a response; None at last if the worker breaks it off."""
    try:
        while part := stream.read():
            yield part
    except (OSError, MalformedResponseError):
        yield None
