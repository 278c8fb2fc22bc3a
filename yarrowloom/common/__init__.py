"""base: see docs/design.md."""
