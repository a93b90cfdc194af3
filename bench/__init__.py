"""Policy bench: the decision objects that the daemons run, under load.

Small fake engines, links and callers at the interfaces of the decisions, one
event heap as the clock, and seeded arrivals: the same figures on every run.

`python -m bench` prints the whole report; see `__main__`.
"""
