"""Implementation of ebonycleat; import public names from ``ebonycleat``."""
