"""State and rules that live as long as the node process."""
