"""Entry point of the program `foxtaildaled`; ignores SIGHUP before imports.

Importing the libraries takes half a second or more on a small VM. If settings
change during that time, the process receives SIGHUP, whose default action ends
the process until the daemon installs its handler. No change is missed while
SIGHUP is ignored, since the settings are read afterwards, and again every few
seconds.
"""

import gc
import signal
import sys


def main() -> None:
    """Entry point of the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported modules are never freed, so the garbage collector is off during
    # the imports and `gc.freeze` excludes their objects from later collections.
    gc.disable()
    if len(sys.argv) > 1:
        from foxtaildaled import main as program

        gc.freeze()
        gc.enable()
        program.main()
        return
    # Without arguments the command line parser is not needed, so `main` is not
    # imported.
    from foxtaildaled import start

    gc.freeze()
    gc.enable()
    sys.exit(start.run())


if __name__ == '__main__':
    main()
