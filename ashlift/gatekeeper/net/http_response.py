"""Answers of execute nodes on the platform's path, off httptools. No sockets.

An answer is held whole while it is short. One that a node's 200 announces or grows over SPILL bytes is told
`long`: the node adapter passes the rest on as it comes (`net/spill.py`).
"""

import httptools

MAX_HEAD_BYTES = 16 * 1024  # of an answer, 1xx answers in front of it included
MAX_BUFFERED_BYTES = (
    64 * 1024
)  # bytes of a served answer's body held whole at most: beyond, it passes on as it comes,
# for the first bytes of a longer one are what its client waits for
MAX_RESPONSE_BYTES = (
    64 << 20
)  # bytes of a served answer that is told: one that announces more is no answer to pass on
MAX_ERROR_BODY_BYTES = 1 << 20  # of an answer that is not served (it is thrown away): nodes may say much
MAX_ERROR_RESPONSE_BYTES = 2 << 20  # all of such an answer: a body in tiny chunks takes many times its size


class MalformedResponseError(Exception):
    """What came back is no answer that anybody could read; the job may have run."""


class HttpResponse:
    """Collects one answer from httptools: the first that is whole, whatever stands before or behind it.

    Guards against a body made of two answers: a node may write a second copy, or noise, right behind. 1xx
    answers in front are passed over. What comes behind ends the connection's use, not the answer's. An
    answer that says nothing of its length ends with the connection (RFC 9112, section 6.3): `ended` says so.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.headers: list[tuple[bytes, bytes]] = []  # of the answer's head, names in lower case
        self.size = self.bytes_fed = self.status = self.head_status = 0
        self.length: int | None = None  # as announced
        self.chunked = self.never_ran = self.head_complete = self.done = self.keep_alive = (
            self.head_keep_alive
        ) = False
        self.parser = httptools.HttpResponseParser(self)

    @property
    def too_long_to_buffer(self) -> bool:
        """A node's 200 that is too long to hold: its body passes on as it comes."""
        return (
            self.head_complete
            and not self.done
            and self.head_status == 200
            and (
                self.size > MAX_BUFFERED_BYTES
                or (self.length is not None and self.length > MAX_BUFFERED_BYTES)
            )
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends with the connection: neither a length nor chunks were told."""
        return self.head_complete and self.length is None and not self.chunked

    def feed(self, data: bytes | memoryview) -> None:
        """Guards against heads, bodies and 1xx answers without end: each claim has so much room."""
        self.bytes_fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.keep_alive = False
            if not self.done:
                raise MalformedResponseError(str(error)) from None
        if self.done:
            return
        if (
            self.head_status == 200 and self.head_complete
        ):  # what is served is held up to SPILL, then passed on
            if self.length is not None and self.length > MAX_RESPONSE_BYTES:
                raise MalformedResponseError("an answer that says it is longer than any")
            return
        if self.size > MAX_ERROR_BODY_BYTES or self.bytes_fed > (
            MAX_ERROR_RESPONSE_BYTES if self.head_complete else MAX_HEAD_BYTES
        ):
            raise MalformedResponseError("no end")

    def connection_ended(self) -> bool:
        """The connection has ended: whether that was the end of an answer that ends so."""
        if self.done or not self.ends_with_connection:
            return self.done
        self.status, self.done, self.keep_alive = self.head_status, True, False
        return True

    def take_body(self) -> bytes:
        """What of the body has been read since this was last asked."""
        taken, self.parts = b"".join(self.parts), []
        return taken

    def on_message_begin(self) -> None:
        self.keep_alive = False  # of one that is done: something came behind it
        if not self.done:
            self.headers, self.length, self.chunked = [], None, False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.done or self.head_complete:
            return  # behind the answer, or its trailers
        name, value = name.lower(), value.strip()
        self.headers.append((name, value))
        if name == b"x-never-ran" and value == b"1":
            self.never_ran = True
        elif name == b"content-length" and value.isdigit():
            self.length = int(value)
        elif name == b"transfer-encoding" and b"chunked" in value.lower():
            self.chunked = True

    def on_headers_complete(self) -> None:
        if not self.done:
            self.head_status = self.parser.get_status_code()
            self.head_complete = self.head_status >= 200
            self.head_keep_alive = (
                self.parser.should_keep_alive()
            )  # by the head: a body may pass the parser by

    def on_body(self, body: bytes) -> None:
        if not self.done:
            self.parts.append(body)
            self.size += len(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.done or status < 200:
            return
        # Asked here, for once the message is over the parser says False to everything: guards against a
        # pool that never gets a connection back, and a handshake for each claim.
        self.status, self.done, self.keep_alive = status, True, self.parser.should_keep_alive()
