"""The settings file: what is read, the defaults, and every error by its key."""

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
WRONG_VALUES = [
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


@test("settings: all that is given is read, fields that are not known are ignored")
def _() -> None:
    found = read_settings(PATH)
    assert isinstance(found, Settings), found
    assert (found.node_name, found.ip, found.zone, found.region) == ("core-a-1", "10.1.0.11", "a", "r")
    assert found.seeds == (("10.1.0.11", 8200), ("10.2.0.5", 8200))
    assert found.internal_ports == (7600, 7615)
    assert found.bindings.control == ("10.1.0.11", 8200)
    assert found.bindings.front is None
    assert found.serves == ("control", "directory")
    assert found.zones == {"a": "r"}
    assert found.heartbeat == 1.5
    assert (
        found.machine_limits.cpu_share,
        found.machine_limits.memory_mb,
        found.fault_tolerance.machines,
    ) == (
        0.5,
        296,
        1,
    )
    assert found.bounds == Bounds(contact=4.5, revocation_strict=True, retry_slack=62.0, ttl_max=2.5)
    assert found.bootstrap
    assert found.quorum_member
    assert found.data_directory == "/data/keeper"


@test("settings: the bounds of slow start keep their old keys")
def _() -> None:
    found = parse_settings(MINIMAL + "[Bounds]\nColdOverrun=2.5\nColdSlack=7.0\n")
    assert isinstance(found, Settings)
    assert (found.bounds.slow_start_overrun, found.bounds.slow_start_slack) == (2.5, 7.0)


@test("settings: the least that a process needs is enough")
def _() -> None:
    found = parse_settings(MINIMAL)
    assert isinstance(found, Settings)
    assert found.bounds == Bounds()
    assert found.data_directory is None


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
    found = parse_settings("\n".join([*base, line]), "f.toml")
    assert isinstance(found, list), found
    assert len(found) == 1, found
    assert found[0].detail.startswith(f"f.toml: {error}"), found


@test("settings: all errors are reported at once, and a file that is not there is one")
def _() -> None:
    found = parse_settings('Ip=3\nSeedNodes=["10.0.0.1:80"]\n[Bounds]\nDrain="3m"\n', "f")
    assert isinstance(found, list)
    keys = [failure.detail.split(": ")[1] for failure in found]
    assert sorted(keys) == ["Bounds.Drain", "InternalPortRange", "Ip", "NodeName"]
    missing = read_settings(PATH + ".none")
    assert isinstance(missing, list)
    assert "cannot be read" in missing[0].detail


@test("settings: damage of any kind raises nothing and is reported by its place")
def _() -> None:
    accepted = []

    @seed(21)
    @hypothesis_settings(
        max_examples=300, database=None, deadline=None, suppress_health_check=list(HealthCheck)
    )
    @given(
        st.lists(
            st.tuples(st.integers(0, len(LINES) - 1), st.sampled_from(WRONG_VALUES)), min_size=1, max_size=3
        )
    )
    def fuzz(steps: list[tuple[int, str]]) -> None:
        lines = list(LINES)
        for number, value in steps:
            key = lines[number].split(" = ")[0]
            lines[number] = f"{key} = {value}" if value else ""
        found = parse_settings("\n".join(lines), "f")
        accepted.append(isinstance(found, Settings))
        if isinstance(found, list):
            assert found
            assert all(isinstance(error, Failure) and error.detail.startswith("f: ") for error in found)
            assert not any("\n" in error.detail for error in found)

    fuzz()
    assert 0.05 < sum(accepted) / len(accepted) < 0.95, "neither all accepted nor all rejected"
