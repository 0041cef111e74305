"""The operators' door and what it works on: calls, figures, workers out by hand, the process's phase.

`calls` (what a call asks), `figures` (the statsd lines), `handouts` (workers out by hand and the file that
hands them to a successor), `life` (serving, standby, stopping): no input or output. `store` reads and writes
that file, `door` is the door's sockets. The door reaches the owner's queue only.
"""
