"""Runs the policy bench.

python -m bench              every scenario and policy, long form
python -m bench short        the short form that CI runs
python -m bench pool peak    words pick policies and scenarios by name
"""

import sys

from bench import report


def main() -> None:
    """Runs what the words on the command line pick."""
    report.run(sys.argv[1:])


if __name__ == '__main__':
    main()
