"""The settings file and the operator's configuration: read, checked, indexed. Importing it loads nothing."""
