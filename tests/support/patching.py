"""Temporary replacement of module attributes."""

import contextlib
from collections.abc import Iterator
from typing import Any


@contextlib.contextmanager
def replaced(module: Any, **names: Any) -> Iterator[None]:
    """Set attributes of the module within the context and restore them afterwards."""
    before = {name: vars(module)[name] for name in names}
    vars(module).update(names)
    try:
        yield
    finally:
        vars(module).update(before)
