"""ashlift lab: runs gatekeepers or the whole system as processes, with fault injection and checkers.

Never imported by the daemons. `history` reads the recording of a run, `checker` verifies its invariants, and
`system` runs the scenarios of the simulator on processes.
"""
