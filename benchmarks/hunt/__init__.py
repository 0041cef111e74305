"""Fault injection campaigns for the users' bench: `python -m benchmarks.hunt draw|play|table`.

A *campaign* is a number of days; a *day* has entries (faults and planned work), at most one closing fault and
traffic. An entry has a kind and *modes*, the words of its `how`. A *cell* is what a campaign covers: a kind,
a class of machines and one mode. Kinds, modes and fields are the users' words.
"""
