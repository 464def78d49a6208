"""Small stand-ins for the systems around cicadalever; not part of the product."""
