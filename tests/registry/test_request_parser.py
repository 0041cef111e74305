"""Parsing of HTTP requests."""

from ward import each, test

from ashlift.registry.api.messages import HttpRequest
from ashlift.registry.api.request_parser import MAX_UNPARSED_BYTES, RequestParser


def parse(data: bytes, chunk_bytes: int) -> RequestParser:
    """Feed the bytes in chunks of that size, until there is an error."""
    parser = RequestParser(lambda path: 8 if path == "/small" else 100)
    for start in range(0, len(data), chunk_bytes):
        parser.feed(data[start : start + chunk_bytes])
        if parser.error:
            break
    return parser


@test("requests are parsed from chunks of any size ({size})")
def _(size: int = each(1, 7, 1000)) -> None:
    parser = parse(
        b"PUT /a?Zone=x&Name=y HTTP/1.1\r\nIf-Match: 5\r\nContent-Length: 2\r\n\r\n{}"
        b"POST /small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        b"GET /c/d HTTP/1.1\r\nConnection: close\r\n\r\n",
        size,
    )
    first, second, third = (request for request, _ in parser.requests)
    assert first == HttpRequest("PUT", "/a", {"Zone": "x", "Name": "y"}, first.headers, b"{}")
    assert first.headers["if-match"] == "5"
    assert second.body == b"abcde"
    assert third.segments == ["d"]
    assert [keep_alive for _, keep_alive in parser.requests] == [True, True, False]
    assert not parser.error


@test("an oversized or malformed request is rejected with its status: {status}")
def _(
    data: bytes = each(
        b"PUT /small HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789",
        b"PUT /small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX: " + b"y" * 40000 + b"\r\n\r\n",
        b"nonsense\r\n\r\n",
    ),
    status: int = each(413, 413, 431, 400),
) -> None:
    for chunk_bytes in (5, 50000):
        parser = parse(data, chunk_bytes)
        assert parser.error
        assert parser.error.status == status


@test("a header that never ends is rejected, and so is a trailer")
def _(
    begin: bytes = each(
        b"GET /a HTTP/1.1\r\nX-Long: ",
        b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ",
    ),
) -> None:
    parser = parse(begin + b"a" * 2 * MAX_UNPARSED_BYTES, 4096)
    assert parser.error is not None
    assert parser.error.status == 431
