"""What all commands share: exit codes, and where results and failures are printed."""

from typing import Any, Final

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.outputs.output import Type

from ashlift.cli.control_client import get_json
from ashlift.errors import Failure, FailureReason

EXIT_DONE: Final = 0
EXIT_DIFFERENT: Final = 1  # two configurations differ, or a plan shows rejections or changes
EXIT_FAILED: Final = 2
EXIT_PENDING: Final = 3  # an edit of a route is not in force: it is pending, or conflicts

ADDRESS: Final = argument("address", "A Control address, such as 10.0.0.4:8200.")


class CliCommand(Command):
    """A command: results go to standard output, each failure on one line to standard error."""

    def print_lines(self, lines: list[str]) -> int:
        """Print results; return the exit code for success."""
        for line in lines:
            self.io.output.write_line(line, type=Type.RAW)
        return EXIT_DONE

    def print_failures(self, failures: list[Failure]) -> int:
        """Print failures; return the exit code for them."""
        for failure in failures:
            self.io.error_output.write_line(" ".join(failure.detail.split()), type=Type.RAW)
        return EXIT_FAILED

    def print_invalid(self, text: str) -> int:
        """Print one failure in the command's input; return the exit code for it."""
        return self.print_failures([Failure(FailureReason.INVALID, text)])


def get_json_object(address: str, path: str) -> dict[str, Any] | Failure:
    """Return the JSON object that `GET path` gives at a Control address."""
    answer = get_json(address, path)
    if isinstance(answer, Failure | dict):
        return answer
    return Failure(FailureReason.INVALID, f"{address}: GET {path}: is not a JSON object")
