"""Turns of conversations and token budgets on the instances with disks."""
