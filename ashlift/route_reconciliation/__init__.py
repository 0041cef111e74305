"""Edits of single routes made on both sides of a network partition, and how they are merged after it."""
