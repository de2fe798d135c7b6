"""Execution of calls in the sidecar."""
