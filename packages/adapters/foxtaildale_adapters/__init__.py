"""Adapters for HTTP, ZeroMQ, the platform and logs.

They implement the ports of the core.
"""
