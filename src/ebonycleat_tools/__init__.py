"""Load generator, stand-ins and measuring tools; not part of the product."""
