"""HTTP interface for callers, and queueing, routing and forwarding of requests."""
