"""The settings file: problems are reported with their positions; the settings commands."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import example, given
from hypothesis import strategies as st

from ashlift.gatekeeper import config as configuration
from ashlift.gatekeeper.cli import DEFAULT_SETTINGS_FILE, ashlift
from ashlift.gatekeeper.settings.model import MIB, FeatureSettings, StreamClass, Streaming
from ashlift.gatekeeper.settings.reader import Atom, ListNode, Problem, SettingsError, parse
from ashlift.gatekeeper.settings.schema import format_value, iterate_settings, parse_settings, settings_of


def problems(text: str) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "f")
    return caught.value.lines


def test_a_file_is_read_into_typed_settings_with_their_units() -> None:
    text = """(ashlift ; a remark
      (streaming (enabled true) (buffer-bytes 8MiB) (most-streams 7)
        (class report (head 3s) (stall 250ms) (least-rate 8KiB/s) (total 0) (answer-headers X-A x-b))
        (class "two words")))"""
    streaming = parse_settings(text, "f").settings.streaming
    assert (streaming.enabled, streaming.buffer_bytes, streaming.most_streams) == (True, 8 * MIB, 7)
    first, second = streaming.classes
    assert first == StreamClass("report", 3_000.0, 250.0, 8192.0, total=0.0, answer_headers=("x-a", "x-b"))
    assert second.name == "two words"
    assert parse_settings("(ashlift)", "f").settings == FeatureSettings()


def test_all_problems_of_a_file_are_reported_with_position_and_key() -> None:
    text = """(ashlift
  (streeming (enabled true))
  (streaming (enabled yes) (buffer-bytes 8Mib) (most-streams 0)
    (most-streams 5) (enabled (true))
    (class r (stall 1) (answer-headers X-A Connection b@d))
    (class r (head 3s 4s)) (class (x)) word)
  (logging (form xml)) (ratelimit (server (listen nowhere))))"""
    assert problems(text) == [
        "f:2:4: streeming: unknown key; did you mean streaming?",
        "f:3:23: streaming.enabled: expected true or false, got 'yes'",
        "f:3:42: streaming.buffer-bytes: not a number with a unit (B, KiB, MiB, GiB, kB, MB, GB): '8Mib'",
        "f:3:62: streaming.most-streams: 0 is out of range: at least 1",
        "f:4:6: streaming.most-streams: duplicate key; first given at line 3",
        "f:4:23: streaming.enabled: duplicate key; first given at line 3",
        "f:5:21: streaming.class r.stall: not a number with a unit (ms, s, min, h): '1'",
        "f:5:44: streaming.class r.answer-headers: "
        "Connection is a hop-by-hop header, which is never forwarded",
        "f:5:55: streaming.class r.answer-headers: not a header name: 'b@d'",
        "f:6:12: streaming.class r: duplicate name",
        "f:6:23: streaming.class r.head: expected one value, got 2",
        "f:6:28: streaming.class: expected a name: (class NAME ...)",
        "f:6:40: streaming: expected a setting: (key value)",
        "f:7:18: logging.form: expected one of plain, key-value, json, got 'xml'",
        "f:7:51: ratelimit.server.listen: not host:port: 'nowhere'",
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("(ashlift (a b)", "f:1:15: unexpected end of file: missing )"),
        ("(ashlift))", "f:1:10: expected one list only"),
        ('(ashlift\n "x', "f:2:2: unexpected character '\"'"),
        ("", "f:1:1: unexpected end of file: missing )"),
        ("(other)", "f:1:1: expected (ashlift ...)"),
        ("(ashlift " + "(" * 40, "f:1:1: lists nested more than 32 deep"),
        (
            "(ashlift (streaming (most-streams 200) (buffer-bytes 1MiB)))",
            "f:1:41: streaming.buffer-bytes: too small for most-streams 200: "
            "each needs 8192 bytes, so at least 1646592 are needed",
        ),
        (
            '(ashlift (ratelimit (server (listen 127.0.0.1:1) (domain ""))))',
            "f:1:51: ratelimit.server.domain: must not be empty if the address is given",
        ),
    ],
)
def test_a_syntax_error_or_invalid_combination_is_reported_with_its_position(
    text: str, expected: str
) -> None:
    assert problems(text) == [expected]


@given(st.text(alphabet='()" ;\\\nab1', max_size=60))
def test_any_text_is_parsed_or_reported_as_a_problem(text: str) -> None:
    root = parse(text)
    assert isinstance(root, ListNode | Problem)


@given(st.recursive(st.text(alphabet='ab"\\ ;(', max_size=5), lambda inner: st.lists(inner, max_size=4)))
@example([["(" * 40, "; " + "(" * 33]])  # parentheses in text do not count as nesting
def test_written_expressions_are_parsed_back(tree: object) -> None:
    def write(node: object) -> str:
        if isinstance(node, list):
            return "(" + " ".join(map(write, node)) + ")"
        return '"' + str(node).replace("\\", "\\\\").replace('"', '\\"') + '"'

    def unwrap(node: Atom | ListNode) -> object:
        return [unwrap(item) for item in node.items] if isinstance(node, ListNode) else node.text

    root = parse(write([tree]))
    assert isinstance(root, ListNode) and unwrap(root) == [tree]


def test_formatted_values_can_be_parsed_back() -> None:
    for key, setting, value in iterate_settings(
        FeatureSettings(streaming=Streaming(classes=(StreamClass("r"),))), FeatureSettings
    ):
        *steps, last = key.split(".")
        if value == ():
            continue
        text = f"({last} {format_value(setting, value)})"
        for step in reversed(steps):
            text = f"({step} {text})"
        again = {
            k: v
            for k, _, v in iterate_settings(
                parse_settings(f"(ashlift {text})", "f").settings, FeatureSettings
            )
        }
        assert again[key] == value, text


def test_every_setting_has_a_description() -> None:
    def check(model: type) -> None:
        for setting in settings_of(model).values():
            assert len(setting.info.description) > 10 or setting.value_type is bool, setting.key
            if inner := setting.nested_model or setting.row_model:
                check(inner)

    check(FeatureSettings)


def run(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(ashlift, words, prog_name="ashlift")
    return result.exit_code, result.output


def test_the_command_line_checks_shows_and_explains_settings(tmp_path: Path) -> None:
    assert run("settings", "check", str(DEFAULT_SETTINGS_FILE)) == (
        0,
        f"{DEFAULT_SETTINGS_FILE}: good; 19 settings\n",
    )
    bad = tmp_path / "bad.sexp"
    bad.write_text("(ashlift (a b)\n (streaming (enabled 1)))")
    code, out = run("settings", "check", str(bad))
    assert (
        code == 2 and out.splitlines()[1] == f"{bad}:2:22: streaming.enabled: expected true or false, got '1'"
    )
    code, out = run("settings", "show", str(DEFAULT_SETTINGS_FILE))
    assert code == 0 and f"8MiB                 {DEFAULT_SETTINGS_FILE}:5" in out and "retry-after" in out
    code, out = run("settings", "explain", "streaming.class.stall")
    assert code == 0 and "at least 10ms" in out and "default  2s" in out
    code, out = run("settings", "explain", "streaming.clas")
    assert code == 2 and "did you mean class?" in out
    assert run("--help")[0] == 0 and run("--version")[1].startswith("ashlift, version 0.")


def test_the_unsupported_variable_is_reported_with_its_replacement() -> None:
    with pytest.raises(configuration.ConfigError, match=r"GW_RATELIMIT.*GW_SETTINGS"):
        configuration.load_feature_settings({"GW_RATELIMIT": "x"})
    assert configuration.load_feature_settings({}) == FeatureSettings()


def test_an_invalid_file_ends_the_program_with_one_line_for_each_problem(tmp_path: Path) -> None:
    settings, platform = tmp_path / "own.sexp", tmp_path / "config.json"
    settings.write_text("(ashlift (a b)\n (c d))")
    platform.write_text('{"settings": {}}')
    env = os.environ | {"GW_CONFIG": str(platform), "GW_SETTINGS": str(settings)}
    for words in ([], ["serve"]):
        command = [sys.executable, "-m", "ashlift.gatekeeper", *words]
        ended = subprocess.run(command, env=env, capture_output=True, text=True, check=False)
        assert ended.returncode == 2
        assert [line.split(" ")[0] for line in ended.stderr.splitlines()] == [
            f"{settings}:1:11:",
            f"{settings}:2:3:",
        ]
