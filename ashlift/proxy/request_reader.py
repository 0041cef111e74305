"""Turns the bytes of one client connection into requests, within the operator's limits. No sockets."""

from dataclasses import dataclass, field

import httptools

from ashlift.config.object_schema import ClientLimits

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
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
Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """What a client sent cannot be taken; carries the status of its answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request as it came; header names as they were sent."""

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body_chunks: list[bytes] = field(default_factory=list)
    body_bytes: int = 0  # bytes of the body so far
    head_bytes: int = 0  # bytes of the head so far
    keep_alive: bool = True
    head_complete: bool = False
    has_body: bool = False  # its body has a length or comes in chunks
    expects_continue: bool = False  # waits for `100 Continue` before its body

    def header(self, name: bytes) -> bytes:
        """The value of a header, empty where there is none; 400 where it stands twice with other words."""
        found = {value for key, value in self.headers if key.lower() == name}
        if len(found) > 1:
            raise BadRequestError(400)
        return found.pop() if found else b""

    def header_list(self, name: bytes) -> bytes:
        """A header that is a list, which may stand in several lines (RFC 9110, section 5.3)."""
        return b",".join(value for key, value in self.headers if key.lower() == name)

    @property
    def body(self) -> bytes:
        return self.body_chunks[0] if len(self.body_chunks) == 1 else b"".join(self.body_chunks)


class RequestReader:
    """Feed it bytes; `done` holds the requests that are whole, in their order; `bad` is the status for what
    cannot be read behind them."""

    def __init__(self) -> None:
        self.limits = ClientLimits()
        self.error_status = 0
        self.current: ClientRequest | None = None  # being read
        self.complete: list[ClientRequest] = []
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """After what cannot be read, nothing more is: a parser told so may go on in the middle of it."""
        if self.error_status:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.complete:
                self.complete[
                    -1
                ].keep_alive = False  # it is answered as if it had not asked for more, and is the last
            else:
                self.error_status = 400
        except httptools.HttpParserError as error:
            cause = error.__context__  # a callback's own error comes wrapped
            self.error_status = cause.status if isinstance(cause, BadRequestError) else 400

    def _head(self, size: int) -> ClientRequest:
        asked = self.current
        assert asked is not None
        asked.head_bytes += size
        if asked.head_bytes > self.limits.max_header_bytes:
            raise BadRequestError(431)
        return asked

    # httptools calls these

    def on_message_begin(self) -> None:
        self.current = ClientRequest()

    def on_url(self, url: bytes) -> None:
        self._head(len(url)).target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        asked = self._head(len(name) + len(value) + 4)
        if not asked.head_complete:  # a trailer says nothing
            asked.headers.append((name, value.strip()))

    def on_headers_complete(self) -> None:
        asked = self.current
        assert asked is not None
        asked.head_complete, asked.method = True, self._parser.get_method()
        length, coding = asked.header(b"content-length"), asked.header(b"transfer-encoding")
        asked.has_body = bool(length or coding)
        asked.expects_continue = asked.header(b"expect").lower() == b"100-continue"
        if length and int(length) > self.limits.max_body_bytes:
            raise BadRequestError(413)

    def on_body(self, body: bytes) -> None:
        asked = self.current
        assert asked is not None
        asked.body_bytes += len(body)
        if asked.body_bytes > self.limits.max_body_bytes:
            raise BadRequestError(413)
        asked.body_chunks.append(body)

    def on_message_complete(self) -> None:
        asked, self.current = self.current, None
        assert asked is not None
        asked.keep_alive = self._parser.should_keep_alive()
        self.complete.append(asked)
