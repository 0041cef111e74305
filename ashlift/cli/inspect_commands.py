"""The commands `check`, `status`, `members`, `config show` and `config diff`: they change nothing."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Final

from cleo.helpers import argument, option

from ashlift.cli.command import ADDRESS, EXIT_DIFFERENT, EXIT_DONE, CliCommand, get_json_object
from ashlift.cli.config_diff import diff_lines
from ashlift.cli.configurations import is_patch, load_entries, prefix_failures
from ashlift.cli.control_client import get_json
from ashlift.cli.files import parse_json, read_file
from ashlift.cli.status_output import member_lines, status_lines
from ashlift.config import operator_config, settings
from ashlift.errors import Failure, FailureReason

JSON_OUTPUT: Final = option("json", None, "The answer as it came.", flag=True)


class Check(CliCommand):
    """`check`."""

    name = "check"
    description = "Check a settings file (TOML) or a configuration (JSON): every error by file and key."
    arguments = [argument("file", "The file; what begins with a brace is a configuration.")]
    options = [option("on", None, "The configuration (file or address) that it is to follow.", flag=False)]

    def handle(self) -> int:
        """Print all errors of the file, or that it has none."""
        file = self.argument("file")
        data = read_file(file)
        if isinstance(data, Failure):
            return self.print_failures([data])
        if not (file.endswith(".json") or data.lstrip()[:1] == b"{"):
            return self._check_settings(file)
        body = parse_json(data, file)
        if isinstance(body, Failure):
            return self.print_failures([body])
        base = self.option("on")
        failures = _validate_following(body, base) if base else _validate_alone(body)
        if failures:
            return self.print_failures(prefix_failures(file, failures))
        return self.print_lines([f"{file}: configuration, no error"])

    def _check_settings(self, file: str) -> int:
        result = settings.read_settings(file)
        if isinstance(result, list):
            return self.print_failures(result)
        return self.print_lines([f"{file}: settings, no error"])


def _validate_alone(body: Any) -> list[Failure]:
    if is_patch(body):
        return [Failure(FailureReason.INVALID, "is a change by name: say with --on what it is to follow")]
    entries = operator_config.load_configuration(body)
    return entries if isinstance(entries, list) else []


def _validate_following(body: Any, base: str) -> list[Failure]:
    current = load_entries(base)
    if isinstance(current, list):
        return current
    return operator_config.validate_change(current, "patch" if is_patch(body) else "put", body)


class Status(CliCommand):
    """`status`."""

    name = "status"
    description = "The state of the system, as one core machine sees it."
    arguments = [ADDRESS]
    options = [JSON_OUTPUT]

    def handle(self) -> int:
        """Print the state in a few lines."""
        return self.print_status(status_lines)

    def print_status(self, format_answer: Callable[[Mapping[str, Any]], list[str]]) -> int:
        """Print an answer of `/status`, formatted or as it came."""
        answer = get_json_object(self.argument("address"), "/status")
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        lines = [json.dumps(answer, indent=2)] if self.option("json") else format_answer(answer)
        return self.print_lines(lines)


class Members(Status):
    """`members`."""

    name = "members"
    description = "The core machines, proxies and workers, each on a line."

    def handle(self) -> int:
        """Print the tables."""
        return self.print_status(member_lines)


class ConfigShow(CliCommand):
    """`config show`."""

    name = "config show"
    description = "The newest configuration, as JSON that can be sent again."
    arguments = [ADDRESS]

    def handle(self) -> int:
        """Print the configuration."""
        answer = get_json(self.argument("address"), "/config")
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        return self.print_lines([json.dumps(answer, indent=2, ensure_ascii=False)])


class ConfigDiff(CliCommand):
    """`config diff`."""

    name = "config diff"
    description = (
        "What turns one configuration into another: + only in the second, - only in the first, ~ changed."
    )
    arguments = [
        argument("first", "A file, or a Control address."),
        argument("second", "A file, or a Control address."),
    ]

    def handle(self) -> int:
        """Print the differences; different where there are any."""
        first = load_entries(self.argument("first"))
        second = load_entries(self.argument("second"))
        if isinstance(first, list) or isinstance(second, list):
            results = (first, second)
            return self.print_failures(
                [item for result in results if isinstance(result, list) for item in result]
            )
        lines = diff_lines(first, second)
        self.print_lines(lines)
        return EXIT_DIFFERENT if lines else EXIT_DONE
