"""The operators' command line: reads files, asks core machines, plans, and sends the operators' changes."""
