"""The operators' command line: inspects core machines, plans changes, and sends them."""
