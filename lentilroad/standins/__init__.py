"""Small stand-ins for outside systems."""
