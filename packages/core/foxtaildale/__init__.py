"""Decisions, values and ports of the request router, free of I/O.

All code in this package is synchronous: it gets events and the time as
arguments and returns values. The adapters and programs are in other packages of the
workspace; CI checks that this package does not import them.
"""
