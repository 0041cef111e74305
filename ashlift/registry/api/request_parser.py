"""Parses the requests of one connection with httptools, within size limits."""

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs

import httptools

from ashlift.memory.requests import RequestSize
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response

MAX_HEAD_BYTES: Final = 32 << 10  # request target and headers
MAX_UNPARSED_BYTES: Final = 128 << 10  # of an incomplete header or trailer
END_OF_HEAD: Final = b"\r\n\r\n"
HEADER_OVERHEAD_BYTES: Final = 4  # `: ` and CRLF


class RequestParser:
    """Incremental parser; `requests` has the complete requests, each with whether to keep the connection.

    `error`: the response to an invalid request, after which the connection must be closed. `is_receiving`: a
    request is incomplete. `expects_continue`: the client waits for a 100 Continue. `unparsed_bytes`: received
    since the last complete element, such as a header or a part of a body.
    """

    def __init__(self, max_body_bytes: Callable[[str], int]) -> None:
        """`max_body_bytes`: returns the maximum body size for a path."""
        self.requests: list[tuple[HttpRequest, bool]] = []
        self.error: HttpResponse | None = None
        self.is_receiving = False
        self.expects_continue = False
        self.unparsed_bytes = 0
        self._head_bytes = 0
        self._input = b""
        self._body = bytearray()
        self._content_length: int | None = None
        self._max_body_bytes = 0
        self._max_body_bytes_of = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_input(self) -> bool:
        """Whether there are complete requests, or bytes that have not been parsed."""
        return bool(self.requests or self._input)

    def add(self, data: bytes) -> None:
        """Add received bytes, to be parsed by `parse_next`."""
        self._input += data

    def parse_next(self) -> bool:
        """Parse up to the end of a head or body; returns whether there was anything to parse.

        The rest stays as it is: many short requests take far more memory once they are parsed.
        """
        if not self._input or self.error:
            return False
        end = self._input.find(END_OF_HEAD)
        end = len(self._input) if end < 0 else end + len(END_OF_HEAD)
        part, self._input = self._input[:end], self._input[end:]
        self.feed(part)
        return True

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        parsed_bytes = self._parsed_bytes
        complete_count = len(self.requests)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.error = self.error or error_response(400, f"not HTTP: {error}")
        if self._parsed_bytes != parsed_bytes or len(self.requests) != complete_count:
            self.unparsed_bytes = 0
            return
        # The parser holds an incomplete header, or a chunk's extension, whatever its size.
        self.unparsed_bytes += len(data)
        if self.unparsed_bytes > MAX_UNPARSED_BYTES:
            self._reject_head()

    @property
    def size(self) -> RequestSize:
        """The size of the request that is being received."""
        if not self.is_receiving:
            return RequestSize(0, None, MAX_HEAD_BYTES)
        total_bytes = None
        if self._content_length is not None:
            total_bytes = self._head_bytes + self._content_length
        limit_bytes = MAX_HEAD_BYTES + MAX_UNPARSED_BYTES + self._max_body_bytes
        return RequestSize(self._parsed_bytes + self.unparsed_bytes, total_bytes, limit_bytes)

    @property
    def _parsed_bytes(self) -> int:
        return self._head_bytes + len(self._body)

    # ---- called by httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_receiving = True
        self.expects_continue = False
        self._url = b""
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._content_length = None
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
        length = self._headers.get("content-length", "")
        if length.isdigit():
            self._content_length = int(length)
            if self._content_length > self._max_body_bytes:
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
        self._body = bytearray()
        self.requests.append((request, self._parser.should_keep_alive()))

    def _count_head(self, data: bytes) -> None:
        self._head_bytes += len(data) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject_head()

    def _reject_head(self) -> None:
        self.error = error_response(431, f"more than {MAX_HEAD_BYTES} bytes of headers")

    def _reject_body(self) -> None:
        self.error = error_response(413, f"more than {self._max_body_bytes} bytes")
