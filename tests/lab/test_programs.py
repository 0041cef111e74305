"""Concurrent starts and stops of the programs of a run."""

import tempfile
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess
from ward import test

from ashlift.lab.system.programs import Program, stop_programs
from tests.support.patching import replaced


@test("concurrent starts of a program start one process, which is stopped at the end")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        popen = subprocess.Popen

        def slow_popen(*arguments: Any, **options: Any) -> Any:
            gevent.sleep(0.05)  # yields, so that another greenlet may run
            return popen(*arguments, **options)

        program = Program("edge-1", "proxy", Path(folder) / "none.toml", Path(folder) / "log")
        try:
            with replaced(subprocess, Popen=slow_popen):
                gevent.joinall([gevent.spawn(program.start) for _ in range(3)], raise_error=True)
            assert program.incarnation == 1
        finally:
            stop_programs([program])
        assert not program.is_running


@test("a restart in progress or pending when the run ends leaves no process running")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        popen = subprocess.Popen

        def slow_popen(*arguments: Any, **options: Any) -> Any:
            gevent.sleep(0.05)
            return popen(*arguments, **options)

        program = Program("edge-1", "proxy", Path(folder) / "none.toml", Path(folder) / "log")
        with replaced(subprocess, Popen=slow_popen):
            start = gevent.spawn(program.start)
            gevent.sleep(0.0)
            stop_programs([program])
            start.join()
        assert not program.is_running
        program.start()
        assert not program.is_running
        assert program.incarnation == 1
