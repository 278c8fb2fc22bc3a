"""Jobs: how they are submitted, the records that keep them, and the reducer that changes these."""
