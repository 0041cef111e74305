"""Checkers of the service's rules: each reads a `CheckedHistory` and yields the violations that it finds."""
