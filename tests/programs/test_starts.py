"""Starts of real processes while something that they need is not there yet."""

import signal
import socket
import time
from pathlib import Path

from ward import each, test

from tests.support.started_program import KINDS, started_programs, wait_for

LOG_OPENED_SECONDS = 2.5  # after a start the log is written line by line
CONNECTIONS = 100
DESCRIPTORS = 64


def held(address: tuple[str, int]) -> socket.socket:
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(address)
    holder.listen()
    return holder


def files(folder: Path) -> set[str]:
    return {path.name for path in folder.rglob("*") if path.is_file()}


# Guards against a program that ends because its predecessor still holds the address (issue 76).
@test("the {kind} waits for an address that is held, and then starts")
def _(kind: str = each(*KINDS)) -> None:
    with started_programs() as new_program:
        program = new_program(kind)
        with held(program.address):
            program.start()
            assert wait_for(lambda: " 109 " in program.log or program.exit_status() is not None)
            assert program.exit_status() is None, program.log
        program.wait_until_listening()
        assert program.terminate() == 0, program.log


# Guards against a program that can be ended by SIGKILL alone while it waits (issue 76).
@test("the {kind} ends with status 0 on {number} while it waits for an address")
def _(kind: str = each(*KINDS), number: int = each(signal.SIGTERM, signal.SIGINT, signal.SIGTERM)) -> None:
    with started_programs() as new_program:
        program = new_program(kind)
        with held(program.address):
            program.start()
            assert wait_for(lambda: " 109 " in program.log)
            program.send(signal.SIGHUP)
            program.send(signal.Signals(number))
            assert program.wait() == 0, program.log


# Guards against a store that writes to the disk of another process that holds its address (issue 76).
@test("a store that waits for its address has not touched its disk")
def _() -> None:
    with started_programs() as new_program:
        program = new_program("configstore")
        with held(program.address):
            program.start()
            assert wait_for(lambda: " 109 " in program.log)
            assert files(program.disk) == set()
        program.wait_until_listening()
        assert wait_for(lambda: bool(files(program.disk)))


# Guards against two stores that vote with one disk (issue 76).
@test("a store waits until no other process uses its disk")
def _() -> None:
    with started_programs() as new_program:
        first = new_program("configstore").start()
        first.wait_until_listening()
        second = new_program("configstore", 1).start()  # at another address, on the same disk
        assert wait_for(lambda: " 223 " in second.log)
        assert not second.listens()
        first.send(signal.SIGKILL)
        second.wait_until_listening()
        assert second.terminate() == 0, second.log


# Guards against a start that meets a settings file while it is being written (issue 76).
@test("the {kind} starts although its settings file is {text!r} at first")
def _(kind: str = each(*KINDS * 2), text: str = each("", "", "", "Ip = [", "Ip = [", "Ip = [")) -> None:
    with started_programs() as new_program:
        program = new_program(kind)
        program.settings_path.write_text(text)
        program.start()
        assert wait_for(lambda: program.has_loaded("gevent"))
        program.settings_path.write_text(program.settings_text)
        program.wait_until_listening()


# Guards against a store that ends because connections took all its descriptors (issue 76).
@test("the {kind} goes on after connections have taken all its descriptors")
def _(kind: str = each(*KINDS)) -> None:
    with started_programs() as new_program:
        program = new_program(kind).start(descriptors=DESCRIPTORS)
        program.wait_until_listening()
        time.sleep(LOG_OPENED_SECONDS)
        clients = [socket.create_connection(program.address) for _ in range(CONNECTIONS)]
        assert wait_for(lambda: " 111 " in program.log or program.exit_status() is not None)
        assert program.exit_status() is None, program.log
        for client in clients:
            client.close()
        assert program.terminate() == 0, program.log
