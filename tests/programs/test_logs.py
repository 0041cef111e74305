"""A program whose log cannot be written goes on, and ends in good order."""

import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import IO, Any

from ward import each, test

from tests.support.started_program import KINDS, started_programs, wait_for

LOG_WRITTEN_SECONDS = 2.5  # after a start the log has been written, or could not be
READ_BYTES = 1 << 20


@contextmanager
def unread_pipe() -> Iterator[tuple[int, int]]:
    """Both ends of a pipe that is full."""
    reader, writer = os.pipe()
    try:
        os.set_blocking(writer, False)
        try:
            while True:
                os.write(writer, b"x" * 512)
        except BlockingIOError:
            os.set_blocking(writer, True)
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


# Guards against a program that stops working because nobody reads its log (issue 76).
@test("the {kind} goes on while the pipe of its log is full, and says later how much was lost")
def _(kind: str = each(*KINDS)) -> None:
    with unread_pipe() as (reader, writer), started_programs() as new_program:
        program = new_program(kind).start(stderr=writer)
        program.wait_until_listening()
        time.sleep(LOG_WRITTEN_SECONDS)
        while len(os.read(reader, READ_BYTES)) == READ_BYTES:
            pass
        assert program.terminate() == 0
        assert b" 112 log lines lost lines=" in os.read(reader, READ_BYTES)


# Guards against a program that does not end, or ends with 120, as its log is full (issue 76).
@test("the {kind} ends with status 0 while the pipe of its log is full")
def _(kind: str = each(*KINDS)) -> None:
    with unread_pipe() as (_, writer), started_programs() as new_program:
        program = new_program(kind).start(stderr=writer)
        program.wait_until_listening()
        time.sleep(LOG_WRITTEN_SECONDS)
        assert program.terminate() == 0


# Guards against an exit status of 120 where the log cannot be written (issue 76).
@test("the {kind} ends with status 0 when its log is {place}")
def _(
    kind: str = each(*KINDS * 2), place: str = each(*["full"] * 3, *["a pipe without a reader"] * 3)
) -> None:
    with started_programs() as new_program, unwritable(place) as log:
        program = new_program(kind).start(stderr=log)
        program.wait_until_listening()
        time.sleep(LOG_WRITTEN_SECONDS)
        assert program.terminate() == 0


@contextmanager
def unwritable(place: str) -> Iterator[IO[Any] | int]:
    """A descriptor to which nothing can be written."""
    if place == "full":
        with open("/dev/full", "wb") as file:
            yield file
        return
    reader, writer = os.pipe()
    os.close(reader)
    try:
        yield writer
    finally:
        os.close(writer)


# Guards against sockets and data files that get the number of a closed standard descriptor (issue 76).
@test("the {kind} runs and ends with status 0 without standard descriptors, and uses none for itself")
def _(kind: str = each(*KINDS)) -> None:
    with started_programs() as new_program:
        program = new_program(kind).start(closed=(0, 1, 2))
        program.wait_until_listening()
        assert program.process is not None
        folder = f"/proc/{program.process.pid}/fd"
        assert wait_for(lambda: {os.readlink(f"{folder}/{number}") for number in (0, 1, 2)} == {os.devnull})
        time.sleep(LOG_WRITTEN_SECONDS)
        assert program.terminate() == 0
