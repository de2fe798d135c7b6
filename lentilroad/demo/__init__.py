"""Demonstration: both shipped deployments as separate processes on loopback."""
