"""Heads of streamed messages: body framing, the headers to forward, and rendering. No I/O.

Trailers are dropped in both directions, as a recipient may do (RFC 9110, section 6.5.1).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# Headers that are forwarded: those that describe a body or a request for one. The settings can add others,
# except hop-by-hop headers.
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
    """How the end of a body is marked."""

    NONE = "none"  # no body
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # by the end of the connection: a truncated body is not recognized


@dataclass(frozen=True, slots=True)
class Body:
    """The framing of a body; `length` is valid for Framing.LENGTH."""

    framing: Framing
    length: int = 0


class FramingError(Exception):
    """A head with an invalid or contradictory framing of the body."""


def declared_body(headers: Headers) -> Body | None:
    """Return the body that a head declares (RFC 9112, section 6.3), or None if it declares none.

    Contradictions must be found here: the parser rejects them in requests, but not in all responses.
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
    """Return the body of a response. Those to HEAD, 204 and 304 have none, whatever their heads declare."""
    if method == b"HEAD" or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return Body(Framing.NONE)
    return declared_body(headers) or Body(Framing.CLOSE)


def select_headers(headers: Headers, allowed: frozenset[bytes]) -> Headers:
    """Return the headers with allowed names. Names are in lower case."""
    return [(name, value) for name, value in headers if name in allowed]


def render_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Render header lines. The values come from a parser and contain no line breaks."""
    return b"".join(b"%b: %b\r\n" % (name, value) for name, value in headers)


def framing_header(body: Body) -> bytes:
    """Render the header that declares a body."""
    if body.framing is Framing.CHUNKED:
        return b"Transfer-Encoding: chunked\r\n"
    return b"Content-Length: %d\r\n" % body.length if body.framing is Framing.LENGTH else b""


@dataclass(frozen=True, slots=True)
class Head:
    """The forwarded part of the head of a node's response."""

    status: int
    headers: Headers
    body: Body
    content_length: bytes | None = None  # of a response to HEAD, which has no body

    def render(self, http_minor: int, keep_alive: bool) -> tuple[bytes, Framing]:
        """Render the head for a client of HTTP/1.`http_minor`; returns it and the framing of the body.

        To an HTTP/1.0 client, a chunked body is sent without chunks and ends with the connection.
        """
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
        connection_header = b"" if keep_alive else b"Connection: close\r\n"
        status_line = b"HTTP/1.1 %d %b\r\n" % (self.status, phrase.encode())
        return b"%b%b%b%b\r\n" % (
            status_line,
            render_headers(self.headers),
            length,
            connection_header,
        ), framing
