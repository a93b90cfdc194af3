"""The operators' program."""
