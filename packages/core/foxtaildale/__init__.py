"""Decisions, values and ports of the request router, free of I/O.

Everything in this package is plain and synchronous: it takes events and the
time, and returns values. The adapters and programs live in other packages of
the workspace; a contract in CI keeps them out of this one.
"""
