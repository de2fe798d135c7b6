"""Load generator: seeded agent programs and a client that runs them."""
