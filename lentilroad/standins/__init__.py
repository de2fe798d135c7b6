"""Stand-ins for the external systems that lentilroad talks to."""
