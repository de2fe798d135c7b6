"""Programs: owner, standby, history and budget."""
