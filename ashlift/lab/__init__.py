"""ashlift lab: several gatekeepers or the whole system as processes, faults on their links, and checkers.

Never imported by the daemons. `history` holds what a run recorded, `checker` its invariants; `system` plays
the simulator's scenarios on processes.
"""
