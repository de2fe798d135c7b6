"""Adapters to systems outside lentilroad."""
