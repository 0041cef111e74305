"""Names of a module replaced while a test runs."""

import contextlib
from collections.abc import Iterator
from typing import Any


@contextlib.contextmanager
def replaced(module: Any, **names: Any) -> Iterator[None]:
    """Let these names of the module stand for other values."""
    before = {name: vars(module)[name] for name in names}
    vars(module).update(names)
    try:
        yield
    finally:
        vars(module).update(before)
