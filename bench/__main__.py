"""Runs the policy bench.

python -m bench              every scenario and policy, long form
python -m bench short        the short form that CI runs
python -m bench pool peak    words pick policies and scenarios by name
python -m bench seeds        the pool alone, mean of four seeds
python -m bench weights      both presets' weights, side by side
python -m bench slopes       processor time, memory, bytes at three sizes
python -m bench bounds       prints bounds around today's figures
"""

import sys

from bench import bounds
from bench import report
from bench import slopes


def main() -> None:
    """Runs what the words on the command line pick."""
    words = sys.argv[1:]
    if words[:1] == ['slopes']:
        print(slopes.table())
    elif words[:1] == ['bounds']:
        print(bounds.propose(), end='')
    elif words[:1] == ['weights']:
        report.weights()
    elif words[:1] == ['without']:
        report.mechanisms(words[1:])
    elif words[:1] == ['seeds']:
        report.seeds(words[1:])
    else:
        report.run(words)


if __name__ == '__main__':
    main()
