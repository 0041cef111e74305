"""Runs the whole system as processes on loopback, with the scenarios and checkers of `ashlift.simulation`."""
