"""Heads of streamed messages: how a body is framed, which headers pass, and the bytes of a head. Pure.

Trailers are dropped on both legs: the fields they may hold are read from heads only, and a recipient may
discard them (RFC 9110, section 6.5.1).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# What describes a body or how to ask for one: the settings can widen these, never by hop-by-hop headers.
REQUEST_HEADERS = frozenset(
    {
        b"accept",
        b"accept-encoding",
        b"accept-language",
        b"content-type",
        b"content-encoding",
        b"content-language",
        b"if-match",
        b"if-none-match",
        b"if-modified-since",
        b"if-unmodified-since",
        b"if-range",
        b"range",
    }
)
RESPONSE_HEADERS = frozenset(
    {
        b"accept-ranges",
        b"age",
        b"cache-control",
        b"content-disposition",
        b"content-encoding",
        b"content-language",
        b"content-location",
        b"content-range",
        b"content-type",
        b"etag",
        b"expires",
        b"last-modified",
        b"location",
        b"vary",
    }
)


class Framing(Enum):
    """How the end of a body is told."""

    NONE = "none"  # there is no body
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # by the connection's end: nobody can tell whether it is whole


@dataclass(frozen=True, slots=True)
class Body:
    """What a head says of the body behind it; `length` is that of Framing.LENGTH."""

    framing: Framing
    length: int = 0


class FramingError(Exception):
    """A head that does not say where its body ends, or says it in two ways."""


def declared_body(headers: Headers) -> Body | None:
    """The body that a head announces, by its own words (RFC 9112, section 6.3); None: it says nothing.

    The parser has refused doubled lengths before, and both ways at once in a request; not so in an answer.
    """
    length: int | None = None
    chunked = False
    for name, value in headers:
        if name == b"content-length":
            if length is not None or not value.isdigit():
                raise FramingError("Content-Length")
            length = int(value)
        elif name == b"transfer-encoding":
            if chunked or value.lower() != b"chunked":
                raise FramingError("Transfer-Encoding")
            chunked = True
    if chunked and length is not None:
        raise FramingError("both Content-Length and Transfer-Encoding")
    if chunked:
        return Body(Framing.CHUNKED)
    return None if length is None else Body(Framing.LENGTH if length else Framing.NONE, length)


def response_body(method: bytes, status: int, headers: Headers) -> Body:
    """How an answer's body ends. A HEAD's, a 204 and a 304 have none, whatever their heads say."""
    if method == b"HEAD" or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return Body(Framing.NONE)
    return declared_body(headers) or Body(Framing.CLOSE)


def select_headers(headers: Headers, allowed: frozenset[bytes]) -> Headers:
    """Those that pass. Names are lower case."""
    return [(name, value) for name, value in headers if name in allowed]


def render_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Header lines. The parser took these values off the wire one by one: none holds a line's end."""
    return b"".join(b"%b: %b\r\n" % (name, value) for name, value in headers)


def framing_header(body: Body) -> bytes:
    """The header that tells where a body ends."""
    if body.framing is Framing.CHUNKED:
        return b"Transfer-Encoding: chunked\r\n"
    return b"Content-Length: %d\r\n" % body.length if body.framing is Framing.LENGTH else b""


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a node's answer, as far as it passes on."""

    status: int
    headers: Headers
    body: Body
    content_length: bytes | None = None  # the Content-Length of an answer that has no body: of a HEAD

    def render(self, http_minor: int, keep_alive: bool) -> tuple[bytes, Framing]:
        """The bytes for a client of HTTP/1.`minor`, and how the body goes to it: to one of HTTP/1.0 a chunked
        body goes as it is and ends with the connection."""
        framing = self.body.framing
        if framing is Framing.CHUNKED and http_minor == 0:
            framing, keep_alive = Framing.CLOSE, False
        try:
            phrase = HTTPStatus(self.status).phrase
        except ValueError:
            phrase = "Unknown"
        length = b""
        if framing in (Framing.LENGTH, Framing.CHUNKED):
            length = framing_header(self.body)
        elif self.content_length is not None:
            length = b"Content-Length: %b\r\n" % self.content_length
        elif framing is Framing.NONE and self.status not in (204, 304):
            length = b"Content-Length: 0\r\n"
        end = b"" if keep_alive else b"Connection: close\r\n"
        first = b"HTTP/1.1 %d %b\r\n" % (self.status, phrase.encode())
        return b"%b%b%b%b\r\n" % (first, render_headers(self.headers), length, end), framing
