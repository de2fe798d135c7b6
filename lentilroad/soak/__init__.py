"""Randomized soak of the platform's programs as separate processes."""
