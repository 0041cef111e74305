"""RPC between the processes of the system: CBOR in checksummed frames over TCP.

Importing the package loads no modules: each program imports the ones that it needs.
"""
