"""edge: see docs/design.md."""
