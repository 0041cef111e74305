"""Mutation testing: a line of the program is changed, and a test must notice."""

import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from hypothesis.errors import FlakyFailure


@contextmanager
def mutated_function(function: Callable[..., Any], old: str, new: str) -> Iterator[None]:
    """Run a function or method with `new` in place of `old`, which its source has exactly once."""
    source = textwrap.dedent(inspect.getsource(function))
    assert source.count(old) == 1, f"{function.__qualname__}: the line is not there any more"
    names: dict[str, Any] = {}
    code = compile(source.replace(old, new), inspect.getfile(function), "exec")
    exec(code, function.__globals__, names)
    mutant = names[function.__name__]
    mutant = getattr(mutant, "__func__", mutant)  # of a static method
    original_code = function.__code__
    original_defaults = function.__defaults__
    function.__code__ = mutant.__code__
    function.__defaults__ = mutant.__defaults__
    try:
        yield
    finally:
        function.__code__ = original_code
        function.__defaults__ = original_defaults


def is_detected(check: Callable[[], None]) -> bool:
    """Whether the check fails; hypothesis raises FlakyFailure where the same steps do not fail each time."""
    try:
        check()
    except (AssertionError, FlakyFailure):
        return True
    return False
