"""Checkers of the users' rules: each reads a `CheckedHistory` and yields the violations that it finds."""
