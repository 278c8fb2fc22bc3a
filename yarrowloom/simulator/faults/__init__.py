"""Faults of a simulated run: their model, generator, injector, and the search for fewer that still break a rule."""
