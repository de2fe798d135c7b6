"""Start, wiring and shutdown of the entry and sidecar processes."""
