"""Machinery behind the public API; import from ``ebonycleat`` instead."""
