"""node: see docs/design.md."""
