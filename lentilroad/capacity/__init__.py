"""Measured slopes, and the capacity page that is worked out from them."""
