"""What all programs of the system stand on: frames, faults, the clock, greenlets, events. No decisions."""
