"""Bounds the memory that a program uses for messages of others."""
