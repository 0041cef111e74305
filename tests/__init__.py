"""Tests of the system. A broken invariant of the running code fails the test in which it breaks."""

from ashlift.invariants import ViolationAction, monitor

monitor.action = ViolationAction.RAISE
