"""Adapter to the platform: the only package that knows its names."""
