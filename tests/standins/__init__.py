"""Small stand-ins of outside systems, each run as `python -m`.

Each prints one JSON line with its address when it is ready, keeps a record of
what it executed at `GET /record`, takes faults at `POST /faults` and stops on
SIGTERM.
"""
