"""Parses the requests of one connection with httptools, within size limits."""

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs

import httptools

from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response

MAX_HEAD_BYTES: Final = 32 << 10  # request target and headers
HEADER_OVERHEAD_BYTES: Final = 4  # `: ` and CRLF


class RequestParser:
    """Incremental parser; `requests` has the complete requests, each with whether to keep the connection.

    `error`: the response to an invalid request, after which the connection must be closed. `is_receiving`: a
    request is incomplete. `expects_continue`: the client waits for a 100 Continue.
    """

    def __init__(self, max_body_bytes: Callable[[str], int]) -> None:
        """`max_body_bytes`: returns the maximum body size for a path."""
        self.requests: list[tuple[HttpRequest, bool]] = []
        self.error: HttpResponse | None = None
        self.is_receiving = False
        self.expects_continue = False
        self._max_body_bytes_of = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.error = self.error or error_response(400, f"not HTTP: {error}")

    # ---- called by httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_receiving = True
        self.expects_continue = False
        self._url = b""
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._max_body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._url += url
        self._count_head(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count_head(name + value)

    def on_headers_complete(self) -> None:
        """Check the headers before the body arrives."""
        self._path, _, self._query = self._url.decode("latin-1").partition("?")
        self._max_body_bytes = self._max_body_bytes_of(self._path)
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._reject_body()
        self.expects_continue = self._headers.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self.expects_continue = False
        if len(self._body) + len(data) > self._max_body_bytes:
            self._reject_body()
        else:
            self._body += data

    def on_message_complete(self) -> None:
        """Add the complete request to `requests`."""
        self.is_receiving = False
        self.expects_continue = False
        query = {name: values[-1] for name, values in parse_qs(self._query).items()}
        method = self._parser.get_method().decode("latin-1")
        request = HttpRequest(method, self._path, query, self._headers, bytes(self._body))
        self.requests.append((request, self._parser.should_keep_alive()))

    def _count_head(self, data: bytes) -> None:
        self._head_bytes += len(data) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self.error = error_response(431, f"more than {MAX_HEAD_BYTES} bytes of headers")

    def _reject_body(self) -> None:
        self.error = error_response(413, f"more than {self._max_body_bytes} bytes")
