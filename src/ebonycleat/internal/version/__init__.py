"""The configuration: its records, the views they give, and its language."""
