"""The sidecar's side of a call."""
