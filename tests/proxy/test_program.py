"""The proxy process: its exit after an internal error, and the times of its shutdown."""

from ward import each, test

from ashlift.config.settings import Settings, parse_settings
from ashlift.config.settings_file import SettingsFile
from ashlift.proxy.program import Program
from ashlift.proxy.shutdown import SERVE_FRACTION, accept_seconds
from tests.proxy.test_registry_client import TEXT


@test("an exception in a loop of the proxy ends the process")
def _() -> None:
    settings = parse_settings(TEXT)
    assert isinstance(settings, Settings)
    program = Program(SettingsFile("none"), settings)

    def loop() -> None:
        raise LookupError("unexpected")

    program._spawn(loop).join(1.0)
    program._stop.wait(1.0)
    assert program.invariant_violated
    assert program._stop.is_set()


@test(
    "after SIGTERM, with Grace {grace} s: connections are accepted for under 3 s, aborted in the last sixth"
)
def _(grace: float = each(0.5, 3.0, 6.0, 10.0, 30.0)) -> None:
    accepting = accept_seconds(grace)
    assert accepting < 3.0  # requests sent later than 3 s after SIGTERM must not be aborted
    assert accepting < 5 / 6 * grace < SERVE_FRACTION * grace < grace  # aborted only in the last sixth
