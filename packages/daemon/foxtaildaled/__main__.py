"""Starts the program `foxtaildaled`, before anything else is loaded.

Loading the libraries takes half a second or more of a small VM. A SIGHUP that
came in that time, because settings changed just as the process was started,
would end it: that is what the signal does until the daemon handles it. Nothing
is missed by ignoring it, since settings are read after that, and again every
few seconds.
"""

import signal


def main() -> None:
    """Entry point of the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from foxtaildaled import main as program

    program.main()


if __name__ == '__main__':
    main()
