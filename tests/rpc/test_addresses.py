"""Parsing of HOST:PORT."""

from ward import each, raises, test

from ashlift.rpc.addresses import parse_address


@test("addresses: the last colon separates host and port")
def _() -> None:
    assert parse_address("10.0.0.4:8200") == ("10.0.0.4", 8200)
    assert parse_address("::1:65535") == ("::1", 65535)


@test("addresses: {text} is rejected")
def _(
    text: str = each("", "8200", ":8200", "10.0.0.4", "10.0.0.4:", "h:0", "h:65536", "h:-1", "h:x"),
) -> None:
    with raises(ValueError):
        parse_address(text)
