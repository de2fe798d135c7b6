"""Load: seeded agent programs and a client that drives them."""
