"""Decides whether and when a call runs."""
