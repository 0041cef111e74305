"""Parses the requests of one client connection, within the configured limits. No I/O."""

from dataclasses import dataclass, field
from typing import Final

import httptools

from ashlift.config.object_schema import ClientLimits
from ashlift.proxy.body_buffer import BodyBuffer
from ashlift.proxy.header_list import HeaderList

CONNECTION_HEADER: Final = b"connection"
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        CONNECTION_HEADER,
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
HEADER_LINE_EXTRA_BYTES: Final = 4  # colon, space and line end
END_OF_HEAD: Final = b"\r\n\r\n"  # and of a body in chunks
BAD_REQUEST_STATUS: Final = 400
CONTENT_TOO_LARGE_STATUS: Final = 413
HEADERS_TOO_LARGE_STATUS: Final = 431
Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A client's request is malformed or too large; `status` is the status of the response.

    It is an exception because it must propagate through the parser's callbacks.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request from a client, with header names as sent.

    `head_bytes`, `body_bytes`: received so far. `content_length`: None without the header. `has_body`: the
    head has Content-Length or Transfer-Encoding. `expects_continue`: the client waits for `100 Continue`
    before it sends the body. `receive_seconds`: from its first byte to its last.
    """

    method: bytes = b""
    target: bytes = b""
    headers: HeaderList = field(default_factory=HeaderList)
    body: BodyBuffer = field(default_factory=BodyBuffer)
    content_length: int | None = None
    head_bytes: int = 0
    keep_alive: bool = True
    http_version: str = "1.1"
    head_complete: bool = False
    has_body: bool = False
    expects_continue: bool = False
    receive_seconds: float = 0.0

    @property
    def accepts_chunks(self) -> bool:
        """Whether the client can read a response in chunks; otherwise its end is that of the connection."""
        return self.http_version != "1.0"

    @property
    def body_bytes(self) -> int:
        """Bytes of the body received so far."""
        return len(self.body)

    @property
    def received_bytes(self) -> int:
        """Bytes of head and body received so far."""
        return self.head_bytes + len(self.body)

    def header(self, name: bytes) -> bytes:
        """The value of a header, empty if it is missing. Raises BadRequestError if its values differ."""
        values = {value for key, value in self.headers if key.lower() == name}
        if len(values) > 1:
            raise BadRequestError(BAD_REQUEST_STATUS)
        return values.pop() if values else b""

    def header_list(self, name: bytes) -> bytes:
        """The combined value of a list header, which may have several lines (RFC 9110, section 5.3)."""
        return b",".join(value for key, value in self.headers if key.lower() == name)


class RequestReader:
    """A parser for one connection.

    `complete` holds the completely received requests, in order; `current` is the one being received;
    `error_status` is the status of the response to a malformed request after them, 0 if there is no error.
    `unparsed_bytes`: received since the last complete element, such as a header or a part of a body.
    """

    def __init__(self) -> None:
        self.limits = ClientLimits()
        self.error_status = 0
        self.current: ClientRequest | None = None
        self.complete: list[ClientRequest] = []
        self.unparsed_bytes = 0
        self._unparsed_input = b""
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_pipelined(self) -> bool:
        """Whether bytes behind the last complete request have been received."""
        return bool(self.complete or self._unparsed_input)

    def feed(self, data: bytes) -> None:
        """Parse more bytes, up to the end of a request. After an error all further bytes are ignored."""
        self._unparsed_input += data
        self.parse_next()

    def parse_next(self) -> None:
        """Parse what has been received, up to the end of the next request.

        The rest stays as it is: many short requests take far more memory once they are parsed.
        """
        data = self._unparsed_input
        start = 0
        while start < len(data) and not self.complete and not self.error_status:
            end = self._end_of_part(data, start)
            self._parse(data[start:end])
            start = end
        self._unparsed_input = data[start:]

    def _end_of_part(self, data: bytes, start: int) -> int:
        """Where to stop parsing, so that a part holds the ends of two requests at most."""
        request = self.current
        if request is not None and request.head_complete and request.content_length is not None:
            return min(len(data), start + request.content_length - request.body_bytes)
        end = data.find(END_OF_HEAD, start)
        return len(data) if end < 0 else end + len(END_OF_HEAD)

    def _parse(self, data: bytes) -> None:
        request = self.current
        received_bytes = request.received_bytes if request is not None else 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.complete:
                self.complete[-1].keep_alive = False  # the upgrade is ignored
            else:
                self.error_status = BAD_REQUEST_STATUS
        except httptools.HttpParserError as error:
            cause = error.__context__  # the parser wraps what its callbacks raise
            self.error_status = cause.status if isinstance(cause, BadRequestError) else BAD_REQUEST_STATUS
        if request is None or request is not self.current or request.received_bytes != received_bytes:
            self.unparsed_bytes = 0
            return
        # The parser holds an incomplete header, or a chunk's extension, whatever its size.
        self.unparsed_bytes += len(data)
        if self.unparsed_bytes > self.limits.max_header_bytes:
            self.error_status = self.error_status or HEADERS_TOO_LARGE_STATUS

    def _receiving(self) -> ClientRequest:
        assert self.current is not None
        return self.current

    def _add_head_bytes(self, count: int) -> ClientRequest:
        request = self._receiving()
        request.head_bytes += count
        if request.head_bytes > self.limits.max_header_bytes:
            raise BadRequestError(HEADERS_TOO_LARGE_STATUS)
        return request

    # ---- called by httptools

    def on_message_begin(self) -> None:
        """A request begins."""
        self.current = ClientRequest()

    def on_url(self, url: bytes) -> None:
        """A part of the target has been received."""
        self._add_head_bytes(len(url)).target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has been received; trailers are counted and ignored."""
        request = self._add_head_bytes(len(name) + len(value) + HEADER_LINE_EXTRA_BYTES)
        if not request.head_complete:
            request.headers.append(name, value.strip())

    def on_headers_complete(self) -> None:
        """The head has been received."""
        request = self._receiving()
        request.head_complete = True
        request.method = self._parser.get_method()
        content_length = request.header(b"content-length")
        transfer_encoding = request.header(b"transfer-encoding")
        request.has_body = bool(content_length or transfer_encoding)
        request.expects_continue = request.header(b"expect").lower() == b"100-continue"
        if content_length:
            request.content_length = int(content_length)
            if request.content_length > self.limits.max_body_bytes:
                raise BadRequestError(CONTENT_TOO_LARGE_STATUS)

    def on_body(self, body: bytes) -> None:
        """A part of the body has been received."""
        request = self._receiving()
        if request.body_bytes + len(body) > self.limits.max_body_bytes:
            raise BadRequestError(CONTENT_TOO_LARGE_STATUS)
        request.body.append(body)

    def on_message_complete(self) -> None:
        """The request has been received completely."""
        request = self._receiving()
        self.current = None
        request.keep_alive = self._parser.should_keep_alive()
        request.http_version = self._parser.get_http_version()
        self.complete.append(request)
