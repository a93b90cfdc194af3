"""Measurements of the real adapters; for people, not for CI."""
