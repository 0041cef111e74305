"""ashlift lab: our own installation of several gatekeepers, faults between them, and a checker.

Never imported by the daemon. Pure parts first: `history` (what a run recorded), `checker` (its invariants).
"""
