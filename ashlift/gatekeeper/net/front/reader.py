"""Parses the requests of a client connection. No sockets or greenlets."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from ashlift.gatekeeper.net.front.request import SINGLE_VALUE_HEADERS, BadRequestError, ClientRequest

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import StreamPolicy

MAX_HEAD_BYTES = 16 * 1024  # of request line and headers
MAX_BODY_BYTES = 64 * 1024  # of a request that is not streamed
MAX_FRAMING_RATIO = 16  # bytes of chunk framing per byte of a streamed body; permits tiny chunks


class RequestReader:
    """Calls `on_begin` when a request begins and `on_request` when it can be processed.

    `policy` returns the stream policy of a target, or None if its class is not streamed. None: streaming
    is disabled.
    """

    def __init__(
        self,
        on_begin: Callable[[], None],
        on_request: Callable[[ClientRequest], None],
        policy: "Callable[[bytes], StreamPolicy | None] | None",
    ) -> None:
        self._on_begin, self._on_request, self._policy = on_begin, on_request, policy
        self.request: ClientRequest | None = None  # being read
        self._bytes_fed = 0  # since the end of the last request
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse input; raises BadRequestError, after which the connection cannot be read any further."""
        self._bytes_fed += len(data)
        try:
            self._parser.feed_data(data)
        except BadRequestError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser wraps a BadRequestError raised in a callback.
            cause = error.__context__
            bad_request = (
                cause if isinstance(cause, BadRequestError) else BadRequestError(HTTPStatus.BAD_REQUEST)
            )
            raise bad_request from None
        request = self.request
        if request is None:
            return
        allowed_framing = 0 if request.policy is None else MAX_FRAMING_RATIO * request.size
        if self._bytes_fed - request.size > MAX_HEAD_BYTES + allowed_framing:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def skip_body(self) -> None:
        """The body of the current request was read by other means: expect the next request."""
        if self.request is not None:
            self.request.body_complete, self.request = True, None
        self._bytes_fed = 0
        self._parser = httptools.HttpRequestParser(self)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        self.request = ClientRequest()
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        assert self.request is not None
        self.request.target += url
        if len(self.request.target) > MAX_HEAD_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self.request
        assert request is not None
        request.header_bytes += len(name) + len(value)
        if request.header_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if request.head_complete:
            return  # trailers must not change the plan or the customer
        name, value = name.lower(), value.strip()
        previous = request.headers.get(name)
        if previous is not None:
            if name in SINGLE_VALUE_HEADERS:
                raise BadRequestError(HTTPStatus.BAD_REQUEST)
            value = previous + b", " + value
        request.headers[name] = value

    def on_headers_complete(self) -> None:
        request = self.request
        assert request is not None
        request.head_complete = True
        if self._policy is not None and (policy := self._policy(request.target)) is not None:
            self._begin_streamed(request, policy)

    def _begin_streamed(self, request: ClientRequest, policy: "StreamPolicy") -> None:
        from ashlift.gatekeeper.streams.heads import Body, Framing, FramingError, declared_body

        try:
            request.framing = declared_body([*request.headers.items()]) or Body(Framing.NONE)
        except FramingError:
            raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
        if request.framing.length > policy.settings.longest:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if request.headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            raise BadRequestError(HTTPStatus.EXPECTATION_FAILED)
        request.policy = policy
        request.http_minor = int(self._parser.get_http_version()[-1:] or 1)
        self._emit(request)

    def on_body(self, body: bytes) -> None:
        request = self.request
        assert request is not None
        request.body.append(body)
        request.size += len(body)
        if request.size > (MAX_BODY_BYTES if request.policy is None else request.policy.settings.longest):
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        request, self.request, self._bytes_fed = self.request, None, 0
        assert request is not None
        request.body_complete = True
        if request.policy is None:
            self._emit(request)

    def _emit(self, request: ClientRequest) -> None:
        request.method, request.keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        request.http_minor = int(self._parser.get_http_version()[-1:] or 1)
        self._on_request(request)
