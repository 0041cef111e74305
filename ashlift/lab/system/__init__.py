"""The whole system as processes on loopback, under the scenarios and checkers of `ashlift.simulation`."""
