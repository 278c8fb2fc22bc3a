"""What every package uses: errors, logs, settings, and the base classes of records and effects."""
