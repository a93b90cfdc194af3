"""Exit statuses of the command line program; part of its interface."""

import enum


class Exit(enum.IntEnum):
    """Exit status, for scripts to evaluate."""

    # The command succeeded; a change was confirmed by reading the log back.
    OK = 0
    # The change was rejected; it did not and will not take effect.
    REJECTED = 1
    # The command line is invalid; `argparse` exits with this status.
    USAGE = 2
    # The change may or may not take effect; the output names the command that
    # queries the outcome.
    NOT_KNOWN = 3
    # A process or the platform was unreachable; nothing was changed.
    UNAVAILABLE = 4
    # The requested object does not exist.
    NOT_FOUND = 5
    # The status was read and contains problems that an operator must handle.
    DEGRADED = 6
    # A file is invalid; 78 is `EX_CONFIG` of sysexits.
    BAD_FILE = 78
