"""What the programs are told: the settings file and the operator's configuration, read and checked."""
