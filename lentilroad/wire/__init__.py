"""Messages and handlers between lentilroad processes."""
