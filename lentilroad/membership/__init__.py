"""Peers, the sidecar directory and the shard map."""
