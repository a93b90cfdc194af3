"""What the stand-ins answer: a test can work it out beforehand."""

from typing import Final

import xxhash

# Words that answers are made of.
_WORDS: Final = ('go', 'wait', 'clear', 'ice', 'fluid', 'pad', 'tower', 'bolt')


def tokens(prompt: str) -> list[str]:
    """Returns the tokens of a prompt: words between white space."""
    return prompt.split()


def answer(prompt: str, max_tokens: int) -> list[str]:
    """Returns the texts of the answer's pieces, `max_tokens` of them."""
    seed = xxhash.xxh64_intdigest(prompt.encode())
    return [
        f'{_WORDS[(seed >> (i % 48)) % len(_WORDS)]}{i} '
        for i in range(max_tokens)
    ]


def digest(texts: list[str]) -> str:
    """Returns the digest that ends a stream of these pieces."""
    return xxhash.xxh64_hexdigest(''.join(texts).encode())
