"""Rules that a simulated run is judged by: jobs, linearizability of configuration, histories of calls."""
