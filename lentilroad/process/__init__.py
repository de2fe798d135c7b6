"""Objects with process lifetime."""
