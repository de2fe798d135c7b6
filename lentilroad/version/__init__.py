"""Operators' configuration and its distribution."""
