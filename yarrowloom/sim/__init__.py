"""A simulated world for the real nodes."""
