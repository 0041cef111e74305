"""The settings file: keys, defaults, and the key in each error."""

from hypothesis import HealthCheck, given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from ward import each, test

from ashlift.config.settings import Bounds, Settings, parse_settings, read_settings
from ashlift.errors import Failure
from tests.support.config_play import SCENARIOS

PATH = str(SCENARIOS / "config_settings.toml")
LINES = (SCENARIOS / "config_settings.toml").read_text().splitlines()
MINIMAL = 'NodeName="n"\nIp="10.0.0.1"\nInternalPortRange=[7600,7601]\nSeedNodes=["10.0.0.1:80"]\n'
INVALID_VALUES = [
    "3",
    "-1",
    "1.5",
    "true",
    '"x"',
    '"3m"',
    '"10.0.0.1:99999"',
    '""',
    "[]",
    '["a"]',
    "[9,8]",
    "{}",
    "nan",
    "1e400",
    "07:32:00",
    "9" * 30,
    '"\\u0000"',
    "?",
    "",
]


@test("settings: all known keys are read, and unknown ones are ignored")
def _() -> None:
    settings = read_settings(PATH)
    assert isinstance(settings, Settings), settings
    assert (settings.node_name, settings.ip, settings.zone, settings.region) == (
        "core-a-1",
        "10.1.0.11",
        "a",
        "r",
    )
    assert settings.seeds == (("10.1.0.11", 8200), ("10.2.0.5", 8200))
    assert settings.internal_ports == (7600, 7615)
    assert settings.bindings.control == ("10.1.0.11", 8200)
    assert settings.bindings.front is None
    assert settings.serves == ("control", "directory")
    assert settings.zones == {"a": "r"}
    assert settings.heartbeat == 1.5
    assert (
        settings.machine_limits.cpu_share,
        settings.machine_limits.memory_mb,
        settings.fault_tolerance.machines,
    ) == (
        0.5,
        296,
        1,
    )
    assert settings.bounds == Bounds(contact=4.5, revocation_strict=True, retry_slack=62.0, ttl_max=2.5)
    assert settings.bootstrap
    assert settings.quorum_member
    assert settings.data_directory == "/data/keeper"


@test("settings: the bounds of slow start have keys that differ from their names")
def _() -> None:
    settings = parse_settings(MINIMAL + "[Bounds]\nColdOverrun=2.5\nColdSlack=7.0\n")
    assert isinstance(settings, Settings)
    assert (settings.bounds.slow_start_overrun, settings.bounds.slow_start_slack) == (2.5, 7.0)


@test("settings: the required keys are sufficient")
def _() -> None:
    settings = parse_settings(MINIMAL)
    assert isinstance(settings, Settings)
    assert settings.bounds == Bounds()
    assert settings.data_directory is None


ERRORS = {
    'Serves=["edge"]': "Bindings.Front: is missing, and the role serves edge",
    "SeedNodes=[]": "SeedNodes: is empty",
    "Bootstrap=1": "Bootstrap: is not true or false",
    "Heartbeat=1500": "Heartbeat: is no time",
    'SeedNodes=["10.0.0.1"]': "SeedNodes: is no address",
    "[Bounds]\nRetrySlack=-1": "Bounds.RetrySlack: is below 0",
    '[Bounds]\nRevoke="5"': "Bounds.Revoke: is no time",
    '[Bindings]\nFront="10.0.0.1:0"': "Bindings.Front: is no address",
    "Limits=3": "Limits: is not a table",
    "Ip=": "is no TOML",
}


@test("settings: {line} is reported as {error}")
def _(line: str = each(*ERRORS), error: str = each(*ERRORS.values())) -> None:
    base = [given for given in MINIMAL.splitlines() if given.split("=")[0] != line.split("=")[0]]
    errors = parse_settings("\n".join([*base, line]), "f.toml")
    assert isinstance(errors, list), errors
    assert len(errors) == 1, errors
    assert errors[0].detail.startswith(f"f.toml: {error}"), errors


@test("settings: all errors are reported at once, and a missing file is an error")
def _() -> None:
    errors = parse_settings('Ip=3\nSeedNodes=["10.0.0.1:80"]\n[Bounds]\nDrain="3m"\n', "f")
    assert isinstance(errors, list)
    keys = [failure.detail.split(": ")[1] for failure in errors]
    assert sorted(keys) == ["Bounds.Drain", "InternalPortRange", "Ip", "NodeName"]
    missing = read_settings(PATH + ".none")
    assert isinstance(missing, list)
    assert "cannot be read" in missing[0].detail


@test("settings: mutated files raise nothing, and errors begin with the file's name")
def _() -> None:
    accepted = []

    @seed(21)
    @hypothesis_settings(
        max_examples=300, database=None, deadline=None, suppress_health_check=list(HealthCheck)
    )
    @given(
        st.lists(
            st.tuples(st.integers(0, len(LINES) - 1), st.sampled_from(INVALID_VALUES)), min_size=1, max_size=3
        )
    )
    def fuzz(steps: list[tuple[int, str]]) -> None:
        lines = list(LINES)
        for number, value in steps:
            key = lines[number].split(" = ")[0]
            lines[number] = f"{key} = {value}" if value else ""
        result = parse_settings("\n".join(lines), "f")
        accepted.append(isinstance(result, Settings))
        if isinstance(result, list):
            assert result
            assert all(isinstance(error, Failure) and error.detail.startswith("f: ") for error in result)
            assert not any("\n" in error.detail for error in result)

    fuzz()
    assert 0.05 < sum(accepted) / len(accepted) < 0.95, "neither all accepted nor all rejected"
