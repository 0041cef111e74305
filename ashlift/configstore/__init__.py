"""Replicated configuration store: commits operator commands to a majority of disks. Not on the data path."""
