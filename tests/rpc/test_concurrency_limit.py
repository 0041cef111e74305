"""Large requests beyond the limit are refused before they are decoded, and small ones pass."""

from ward import raises, test

from ashlift.rpc.concurrency_limit import MIN_LIMITED_BYTES, ConcurrencyLimit
from ashlift.rpc.framing import REQUEST_CRC_SEED, FrameDecoder
from ashlift.rpc.messages import encode_request, refused_request

MAX_BYTES = 1 << 20


def payload(method: str, size: int, number: int = 7) -> bytes:
    frame = encode_request(number, method, b"x" * size)
    (encoded,) = FrameDecoder(REQUEST_CRC_SEED).feed_payloads(frame)
    return encoded


@test("requests run at once up to the limit, and again after one has ended")
def _() -> None:
    limit = ConcurrencyLimit({"submit"}, MAX_BYTES)
    first = limit.try_start(payload("submit", 700_000))
    assert first is not None
    assert limit.try_start(payload("submit", 700_000)) is None
    assert limit.try_start(payload("submit", 200_000)) is not None
    first.release()
    first.release()
    assert limit.try_start(payload("submit", 700_000)) is not None


@test("a request that runs alone may have any size; small ones and other methods always run")
def _() -> None:
    limit = ConcurrencyLimit({"submit"}, MAX_BYTES)
    assert limit.try_start(payload("submit", 3 * MAX_BYTES)) is not None
    assert limit.try_start(payload("submit", MIN_LIMITED_BYTES // 2)) is not None
    assert limit.try_start(payload("append", 3 * MAX_BYTES)) is not None
    assert limit.try_start(payload("submit", MIN_LIMITED_BYTES)) is None


@test("the number and the method of a request are read without its body; a malformed one is rejected")
def _() -> None:
    request = refused_request(payload("submit", 100_000, number=1 << 40))
    assert (request.number, request.method, request.body) == (1 << 40, "submit", None)
    for malformed in (b"", b"\x82\x01", b"\x83\x01", b"\x83\x01\x02", b"\x83aaaa"):
        with raises(ValueError):
            refused_request(malformed)
