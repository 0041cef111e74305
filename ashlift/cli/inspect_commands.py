"""The read-only commands `check`, `status`, `members`, `config show` and `config diff`."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Final

from cleo.helpers import argument, option

from ashlift.cli.command import ADDRESS, EXIT_DIFFERENT, EXIT_SUCCESS, CliCommand, get_json_object
from ashlift.cli.config_diff import diff_lines
from ashlift.cli.configurations import is_patch, load_entries, prefix_failures
from ashlift.cli.control_client import get_json
from ashlift.cli.files import parse_json, read_file
from ashlift.cli.status_output import member_lines, status_lines
from ashlift.config import operator_config, settings
from ashlift.errors import Failure, FailureReason

JSON_OUTPUT: Final = option("json", None, "Print the JSON response unchanged.", flag=True)


class Check(CliCommand):
    """`check`."""

    name = "check"
    description = (
        "Check a settings file (TOML) or a configuration (JSON); every error names the file and the key."
    )
    arguments = [
        argument("file", "The file; a .json file, or one that begins with a brace, is a configuration.")
    ]
    options = [
        option(
            "on", None, "The current configuration (file or address) that the change applies to.", flag=False
        )
    ]

    def handle(self) -> int:
        """Validate the file, and print its errors."""
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
        failures = _validate_change(body, base) if base else _validate_complete(body)
        if failures:
            return self.print_failures(prefix_failures(file, failures))
        return self.print_lines([f"{file}: configuration, no error"])

    def _check_settings(self, file: str) -> int:
        result = settings.read_settings(file)
        if isinstance(result, list):
            return self.print_failures(result)
        return self.print_lines([f"{file}: settings, no error"])


def _validate_complete(body: Any) -> list[Failure]:
    if is_patch(body):
        return [
            Failure(FailureReason.INVALID, "is a patch: give the configuration that it changes with --on")
        ]
    entries = operator_config.load_configuration(body)
    return entries if isinstance(entries, list) else []


def _validate_change(body: Any, base: str) -> list[Failure]:
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
        """Print a summary of the state."""
        return self.print_status(status_lines)

    def print_status(self, format_response: Callable[[Mapping[str, Any]], list[str]]) -> int:
        """Print a response of `GET /status`, formatted or, with `--json`, unchanged."""
        response = get_json_object(self.argument("address"), "/status")
        if isinstance(response, Failure):
            return self.print_failures([response])
        lines = [json.dumps(response, indent=2)] if self.option("json") else format_response(response)
        return self.print_lines(lines)


class Members(Status):
    """`members`."""

    name = "members"
    description = "Tables of the core machines, proxies and workers."

    def handle(self) -> int:
        """Print the tables."""
        return self.print_status(member_lines)


class ConfigShow(CliCommand):
    """`config show`."""

    name = "config show"
    description = "The current configuration, as JSON that can be uploaded again."
    arguments = [ADDRESS]

    def handle(self) -> int:
        """Print the configuration."""
        response = get_json(self.argument("address"), "/config")
        if isinstance(response, Failure):
            return self.print_failures([response])
        return self.print_lines([json.dumps(response, indent=2, ensure_ascii=False)])


class ConfigDiff(CliCommand):
    """`config diff`."""

    name = "config diff"
    description = "Differences of two configurations: + only in the second, - only in the first, ~ changed."
    arguments = [
        argument("first", "A file, or a Control address."),
        argument("second", "A file, or a Control address."),
    ]

    def handle(self) -> int:
        """Print the differences; return `EXIT_DIFFERENT` if there are any."""
        first = load_entries(self.argument("first"))
        second = load_entries(self.argument("second"))
        if isinstance(first, list) or isinstance(second, list):
            results = (first, second)
            return self.print_failures(
                [item for result in results if isinstance(result, list) for item in result]
            )
        lines = diff_lines(first, second)
        self.print_lines(lines)
        return EXIT_DIFFERENT if lines else EXIT_SUCCESS
