"""Messages and gRPC methods between lentilroad processes."""
