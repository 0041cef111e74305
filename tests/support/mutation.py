"""Mutation testing: replaces a piece of a function's source, after which a check must fail."""

import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from hypothesis.errors import FlakyFailure


@contextmanager
def mutated_function(function: Callable[..., Any], old: str, new: str) -> Iterator[None]:
    """Replace `old`, which must occur exactly once in the function's source, by `new` within the context."""
    source = textwrap.dedent(inspect.getsource(function))
    assert source.count(old) == 1, (
        f"{function.__qualname__}: its source does not contain {old!r} exactly once"
    )
    names: dict[str, Any] = {}
    code = compile(source.replace(old, new), inspect.getfile(function), "exec")
    exec(code, function.__globals__, names)
    mutant = names[function.__name__]
    mutant = getattr(mutant, "__func__", mutant)  # a static method
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
    """Whether the check fails. Hypothesis raises FlakyFailure if a failure does not reproduce on replay."""
    try:
        check()
    except (AssertionError, FlakyFailure):
        return True
    return False
