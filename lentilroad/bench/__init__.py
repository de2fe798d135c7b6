"""Measurements of lentilroad, in virtual time where possible."""
