"""The proxy's process: what ends it."""

from ward import test

from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.program import Program
from tests.proxy.test_registry_client import TEXT


@test("a loop of the proxy that ends by an error ends the process: it does not go stale unseen")
def _() -> None:
    settings = parse_settings(TEXT)
    assert isinstance(settings, Settings)
    program = Program("none", settings)

    def loop() -> None:
        raise LookupError("what nobody has thought of")

    program._spawn(loop).join(1.0)
    program._stop.wait(1.0)
    assert program.invariant_violated
    assert program._stop.is_set()
