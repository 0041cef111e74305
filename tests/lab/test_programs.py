"""The programs of a run, as the lab starts and ends them."""

import tempfile
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess
from ward import test

from ashlift.lab.system.programs import Program, stop_programs
from tests.support.patching import replaced


@test("a program that two greenlets start at once is started once: none is left behind at the end")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        popen = subprocess.Popen

        def slow_popen(*arguments: Any, **options: Any) -> Any:
            gevent.sleep(0.05)  # as a start that waits for its process
            return popen(*arguments, **options)

        program = Program("edge-1", "proxy", Path(folder) / "none.toml", Path(folder) / "log")
        try:
            with replaced(subprocess, Popen=slow_popen):
                gevent.joinall([gevent.spawn(program.start) for _ in range(3)], raise_error=True)
            assert program.incarnation == 1
        finally:
            stop_programs([program])
        assert not program.is_running


@test("a restart that is under way or due when the run ends leaves no program behind")
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
