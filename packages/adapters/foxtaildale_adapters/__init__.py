"""Adapters: HTTP, ZeroMQ, the platform and logs behind the ports of the core."""
