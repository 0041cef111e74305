"""Entry point: `python3 -m ashlift.registry`, with the settings file that ASHLIFT_SETTINGS names."""

from ashlift.entry_point import run_program

if __name__ == "__main__":
    run_program("ashlift.registry.main")
