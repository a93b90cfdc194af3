"""The daemon: roles, their actors, and the composition root that wires them."""
