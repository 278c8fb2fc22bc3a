"""wire: see docs/design.md."""
