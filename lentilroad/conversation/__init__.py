"""Replicated storage of conversation turns and token grants."""
