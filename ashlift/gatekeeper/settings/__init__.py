"""Settings of the optional features, read from a file of S-expressions. All are off by default.

`model` has the typed settings and their defaults, without third-party libraries, and is always loaded. Only
when a settings file is named are `reader` (parser; lark) and `schema` (validation; msgspec) loaded.
"""
