"""Turns the bytes of one client connection into requests, within the operator's limits. No sockets."""

from dataclasses import dataclass, field

import httptools

from ashlift.config.object_schema import ClientLimits

HOP = frozenset(
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
    parts: list[bytes] = field(default_factory=list)
    size: int = 0  # bytes of the body so far
    head: int = 0  # bytes of the head so far
    keep: bool = True
    headed: bool = False
    framed: bool = False  # its body has a length or comes in chunks
    expects: bool = False  # waits for `100 Continue` before its body

    def one(self, name: bytes) -> bytes:
        """The value of a header, empty where there is none; 400 where it stands twice with other words."""
        found = {value for key, value in self.headers if key.lower() == name}
        if len(found) > 1:
            raise BadRequestError(400)
        return found.pop() if found else b""

    def all(self, name: bytes) -> bytes:
        """A header that is a list, which may stand in several lines (RFC 9110, section 5.3)."""
        return b",".join(value for key, value in self.headers if key.lower() == name)

    @property
    def body(self) -> bytes:
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)


class RequestReader:
    """Feed it bytes; `done` holds the requests that are whole, in their order; `bad` is the status for what
    cannot be read behind them."""

    def __init__(self) -> None:
        self.limits = ClientLimits()
        self.bad = 0
        self.asked: ClientRequest | None = None  # being read
        self.done: list[ClientRequest] = []
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """After what cannot be read, nothing more is: a parser told so may go on in the middle of it."""
        if self.bad:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.done:
                self.done[-1].keep = False  # it is answered as if it had not asked for more, and is the last
            else:
                self.bad = 400
        except httptools.HttpParserError as error:
            cause = error.__context__  # a callback's own error comes wrapped
            self.bad = cause.status if isinstance(cause, BadRequestError) else 400

    def _head(self, size: int) -> ClientRequest:
        asked = self.asked
        assert asked is not None
        asked.head += size
        if asked.head > self.limits.max_header_bytes:
            raise BadRequestError(431)
        return asked

    # httptools calls these

    def on_message_begin(self) -> None:
        self.asked = ClientRequest()

    def on_url(self, url: bytes) -> None:
        self._head(len(url)).target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        asked = self._head(len(name) + len(value) + 4)
        if not asked.headed:  # a trailer says nothing
            asked.headers.append((name, value.strip()))

    def on_headers_complete(self) -> None:
        asked = self.asked
        assert asked is not None
        asked.headed, asked.method = True, self._parser.get_method()
        length, coding = asked.one(b"content-length"), asked.one(b"transfer-encoding")
        asked.framed = bool(length or coding)
        asked.expects = asked.one(b"expect").lower() == b"100-continue"
        if length and int(length) > self.limits.max_body_bytes:
            raise BadRequestError(413)

    def on_body(self, body: bytes) -> None:
        asked = self.asked
        assert asked is not None
        asked.size += len(body)
        if asked.size > self.limits.max_body_bytes:
            raise BadRequestError(413)
        asked.parts.append(body)

    def on_message_complete(self) -> None:
        asked, self.asked = self.asked, None
        assert asked is not None
        asked.keep = self._parser.should_keep_alive()
        self.done.append(asked)
