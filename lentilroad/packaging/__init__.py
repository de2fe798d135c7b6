"""Build of the one shipped file."""
