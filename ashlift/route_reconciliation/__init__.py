"""Edits of single routes on both sides of a cut: which may merge by themselves, and what all make of it."""
