"""Decides which target runs a call."""
