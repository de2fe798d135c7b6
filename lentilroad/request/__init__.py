"""Handling of one request."""
