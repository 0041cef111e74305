"""Parses HTTP responses. No sockets.

A response is buffered completely if it is short. A 200 response that announces or reaches more than
MAX_BUFFERED_BYTES is `too_long_to_buffer`: the node adapter forwards the rest as it arrives
(`long_response`).
"""

import httptools

MAX_HEAD_BYTES = 16 * 1024  # including 1xx responses before it
MAX_BUFFERED_BYTES = 64 * 1024  # of the body of a 200 response; longer bodies are forwarded as they arrive
MAX_RESPONSE_BYTES = 64 << 20  # Content-Length of a 200 response
MAX_ERROR_BODY_BYTES = 1 << 20  # of other responses, whose bodies are discarded
MAX_ERROR_RESPONSE_BYTES = 2 << 20  # of other responses, including their chunk framing


class MalformedResponseError(Exception):
    """The response cannot be parsed; the job may have run."""


class HttpResponse:
    """Parses the first complete response with a final status; 1xx responses before it are skipped.

    Input after the response is ignored, so that a second copy does not become part of the body, but the
    connection must not be reused then. A response of unknown length ends with the connection (RFC 9112,
    section 6.3): call `connection_ended`.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.headers: list[tuple[bytes, bytes]] = []  # names in lower case
        self.size = self.bytes_fed = self.status = self.head_status = 0
        self.length: int | None = None  # Content-Length
        self.chunked = self.never_ran = self.head_complete = self.done = self.keep_alive = (
            self.head_keep_alive
        ) = False
        self.parser = httptools.HttpResponseParser(self)

    @property
    def too_long_to_buffer(self) -> bool:
        """Whether this is a 200 response whose body must be forwarded as it arrives."""
        return (
            self.head_complete
            and not self.done
            and self.head_status == 200
            and (
                self.size > MAX_BUFFERED_BYTES
                or (self.length is not None and self.length > MAX_BUFFERED_BYTES)
            )
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends with the connection, as it has neither a length nor chunks."""
        return self.head_complete and self.length is None and not self.chunked

    def feed(self, data: bytes | memoryview) -> None:
        """Parse input; raises MalformedResponseError, also for a head or an error body over its limit."""
        self.bytes_fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.keep_alive = False
            if not self.done:
                raise MalformedResponseError(str(error)) from None
        if not self.done:
            self._check_size()

    def _check_size(self) -> None:
        """Raises MalformedResponseError if the response, which is incomplete, is over a limit."""
        if self.head_status == 200 and self.head_complete:
            if self.length is not None and self.length > MAX_RESPONSE_BYTES:
                raise MalformedResponseError("Content-Length over the limit")
            return
        if self.size > MAX_ERROR_BODY_BYTES or self.bytes_fed > (
            MAX_ERROR_RESPONSE_BYTES if self.head_complete else MAX_HEAD_BYTES
        ):
            raise MalformedResponseError("response over the size limit")

    def connection_ended(self) -> bool:
        """Call when the connection has ended; returns whether the response is complete."""
        if self.done or not self.ends_with_connection:
            return self.done
        self.status, self.done, self.keep_alive = self.head_status, True, False
        return True

    def take_body(self) -> bytes:
        """Return the part of the body read since the last call."""
        body, self.parts = b"".join(self.parts), []
        return body

    def on_message_begin(self) -> None:
        self.keep_alive = False  # another message follows a complete response
        if not self.done:
            self.headers, self.length, self.chunked = [], None, False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.done or self.head_complete:
            return  # of a later message, or a trailer
        name, value = name.lower(), value.strip()
        self.headers.append((name, value))
        if name == b"x-never-ran" and value == b"1":
            self.never_ran = True
        elif name == b"content-length" and value.isdigit():
            self.length = int(value)
        elif name == b"transfer-encoding" and b"chunked" in value.lower():
            self.chunked = True

    def on_headers_complete(self) -> None:
        if not self.done:
            self.head_status = self.parser.get_status_code()
            self.head_complete = self.head_status >= 200
            # For bodies that are not read by the parser.
            self.head_keep_alive = self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if not self.done:
            self.parts.append(body)
            self.size += len(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.done or status < 200:
            return
        # The parser answers this correctly only within the callback: afterwards it always returns False.
        self.status, self.done, self.keep_alive = status, True, self.parser.should_keep_alive()
