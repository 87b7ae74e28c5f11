"""State and rules of one configuration version."""
