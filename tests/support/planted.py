"""A line of the program changed while a test looks whether that is found."""

import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from hypothesis.errors import FlakyFailure


@contextmanager
def planted(where: Callable[..., Any], old: str, new: str) -> Iterator[None]:
    """`where`: a function or method; `old` stands in it once, and is `new` while this lasts."""
    source = textwrap.dedent(inspect.getsource(where))
    assert source.count(old) == 1, f"{where.__qualname__}: the line is not there any more"
    names: dict[str, Any] = {}
    exec(compile(source.replace(old, new), inspect.getfile(where), "exec"), where.__globals__, names)
    changed = names[where.__name__]
    changed = getattr(changed, "__func__", changed)  # a static method
    kept = where.__code__, where.__defaults__
    where.__code__, where.__defaults__ = changed.__code__, changed.__defaults__
    try:
        yield
    finally:
        where.__code__, where.__defaults__ = kept


def found(finds: Callable[[], None]) -> bool:
    """Whether a test fails; hypothesis says Flaky where the same steps do not fail each time."""
    try:
        finds()
    except (AssertionError, FlakyFailure):
        return True
    return False
