"""Requests between the processes of the system: CBOR in checked frames over TCP.

Importing the package loads nothing: a program imports the modules that it needs.
"""
