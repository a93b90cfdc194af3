"""Exit statuses of the operators' program; part of its interface."""

import enum


class Exit(enum.IntEnum):
    """What a script may conclude from the status."""

    # Done, and read back where something was changed.
    OK = 0
    # The change was decided against; it did not and will not take effect.
    REJECTED = 1
    # The command line is wrong; the library's own status.
    USAGE = 2
    # The change may or may not take effect; the output says how to ask again.
    NOT_KNOWN = 3
    # Something could not be reached; nothing was changed.
    UNAVAILABLE = 4
    # What was asked for does not exist.
    NOT_FOUND = 5
    # Status was read, and something in it needs a person.
    DEGRADED = 6
    # A file is wrong; 78 is `EX_CONFIG` of sysexits.
    BAD_FILE = 78
