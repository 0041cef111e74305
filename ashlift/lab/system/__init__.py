"""The whole system as processes on loopback, under the scenes and checkers of `dovetail`."""
