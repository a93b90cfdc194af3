"""Whole answers kept for callers that lost theirs.

A summary runs once. A caller whose connection broke before the answer came
would otherwise learn that it ran and never get its text. Answers are kept by
the keeper of the VM that ran them, up to a number of bytes, oldest out first;
after that the outcome alone is known.
"""

import collections
from typing import Final

# Bytes kept, and of one answer; a part of control's 32 MB.
_ALL_BYTES: Final = 4 * 1024 * 1024
_ONE_BYTES: Final = 512 * 1024


class Answers:
    """Answers by service and key."""

    __slots__ = ('_answers', '_bytes', '_limit')

    _answers: collections.OrderedDict[tuple[str, str], bytes]
    # Bytes kept now.
    _bytes: int
    _limit: int

    def __init__(self, limit: int = _ALL_BYTES) -> None:
        self._answers = collections.OrderedDict()
        self._bytes = 0
        self._limit = limit

    def put(self, service: str, key: str, answer: bytes) -> None:
        """Keeps an answer, unless it is too long."""
        if len(answer) > min(_ONE_BYTES, self._limit):
            return
        old = self._answers.pop((service, key), b'')
        self._answers[service, key] = answer
        self._bytes += len(answer) - len(old)
        while self._bytes > self._limit:
            _, dropped = self._answers.popitem(last=False)
            self._bytes -= len(dropped)

    def get(self, service: str, key: str) -> bytes:
        """Returns an answer; empty if it is not kept."""
        return self._answers.get((service, key), b'')
