"""fleet: see docs/design.md."""
