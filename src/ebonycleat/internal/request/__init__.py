"""Calls, refusals and the state that a node keeps for each request."""
