"""Reads, validates and indexes the settings file and the operator's configuration.

Importing the package loads no modules: each program imports the ones that it needs.
"""
