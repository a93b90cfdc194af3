"""Tests, stand-ins and benches; no part of a shipped package."""
