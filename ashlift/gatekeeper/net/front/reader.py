"""Turns the bytes of one client connection into requests. Knows no socket and no greenlet."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from ashlift.gatekeeper.net.front.asked import ONCE, Asked, BadRequestError

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import StreamPolicy

HEAD_MOST = 16 * 1024  # bytes of request line and headers
BODY_MOST = 64 * 1024  # of a body that is not streamed
CHUNK_COST = 16  # bytes of framing for each byte of a streamed body, beyond HEAD_MOST: tiny chunks, no more


class RequestReader:
    """Calls `began` when a request begins and `arrived` when one may be answered.

    `terms` tells of a target whether its class streams; None where nothing does.
    """

    def __init__(
        self,
        began: Callable[[], None],
        arrived: Callable[[Asked], None],
        policy: "Callable[[bytes], StreamPolicy | None] | None",
    ) -> None:
        self._began, self._arrived, self._policy = began, arrived, policy
        self.asked: Asked | None = None  # being read
        self._fed = 0  # bytes since the last request's end
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Take what came; raises BadRequestError, and then nothing more can be read."""
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except BadRequestError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # A callback's own BadRequestError comes wrapped by the parser.
            cause = error.__context__
            bad = cause if isinstance(cause, BadRequestError) else BadRequestError(HTTPStatus.BAD_REQUEST)
            raise bad from None
        asked = self.asked
        if asked is None:
            return
        spare = 0 if asked.policy is None else CHUNK_COST * asked.size
        if self._fed - asked.size > HEAD_MOST + spare:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pass_over(self) -> None:
        """The body of the request that is being read went past this reader: the next request follows."""
        if self.asked is not None:
            self.asked.whole, self.asked = True, None
        self._fed = 0
        self._parser = httptools.HttpRequestParser(self)

    # httptools calls these

    def on_message_begin(self) -> None:
        self.asked = Asked()
        self._began()

    def on_url(self, url: bytes) -> None:
        assert self.asked is not None
        self.asked.target += url
        if len(self.asked.target) > HEAD_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        asked = self.asked
        assert asked is not None
        asked.head += len(name) + len(value)
        if asked.head > HEAD_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if asked.headed:
            return  # a trailer: guards against a plan or a name that is told behind the body
        name, value = name.lower(), value.strip()
        before = asked.headers.get(name)
        if before is not None:
            if name in ONCE:
                raise BadRequestError(HTTPStatus.BAD_REQUEST)
            value = before + b", " + value
        asked.headers[name] = value

    def on_headers_complete(self) -> None:
        asked = self.asked
        assert asked is not None
        asked.headed = True
        if self._policy is not None and (policy := self._policy(asked.target)) is not None:
            self._streamed(asked, policy)

    def _streamed(self, asked: Asked, policy: "StreamPolicy") -> None:
        from ashlift.gatekeeper.streams.heads import Body, Framing, FramingError, declared_body

        try:
            asked.framing = declared_body([*asked.headers.items()]) or Body(Framing.NONE)
        except FramingError:
            raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
        if asked.framing.length > policy.settings.longest:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if asked.headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            raise BadRequestError(HTTPStatus.EXPECTATION_FAILED)
        asked.policy = policy
        asked.minor = int(self._parser.get_http_version()[-1:] or 1)
        self._tell(asked)

    def on_body(self, body: bytes) -> None:
        asked = self.asked
        assert asked is not None
        asked.body.append(body)
        asked.size += len(body)
        if asked.size > (BODY_MOST if asked.policy is None else asked.policy.settings.longest):
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        asked, self.asked, self._fed = self.asked, None, 0
        assert asked is not None
        asked.whole = True
        if asked.policy is None:
            self._tell(asked)

    def _tell(self, asked: Asked) -> None:
        asked.method, asked.keep = self._parser.get_method(), self._parser.should_keep_alive()
        asked.minor = int(self._parser.get_http_version()[-1:] or 1)
        self._arrived(asked)
