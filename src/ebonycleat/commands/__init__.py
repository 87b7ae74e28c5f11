"""Entry points of the product: one module per program."""
