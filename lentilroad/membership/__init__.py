"""Group membership of entries, upstream directories and the shard map."""
