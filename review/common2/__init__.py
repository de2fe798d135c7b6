"""Stand-ins, machines and clients shared by the cases 6 to 10."""
