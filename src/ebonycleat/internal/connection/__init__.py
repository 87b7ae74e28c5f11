"""State and rules that live as long as one connection."""
