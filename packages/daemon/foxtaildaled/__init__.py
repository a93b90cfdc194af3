"""The daemon: roles, their actors, and the composition root of each role."""
