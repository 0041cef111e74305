"""Edits of single routes made on either side of a network partition, and their merge after it heals."""
