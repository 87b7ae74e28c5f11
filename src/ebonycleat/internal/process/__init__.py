"""State and rules that exist for the lifetime of a node process."""
