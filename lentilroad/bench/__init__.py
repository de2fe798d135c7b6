"""Measurements in virtual time."""
