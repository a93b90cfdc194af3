"""Decodes bytes that another program wrote.

Another writer may have written anything, so a decoder may raise more than the
errors of its library: `RecursionError` for deep nesting, `OverflowError` or
`ValueError` for large numbers. A caller that expects `errors.DecodeError` must
not get any other exception, or it loses everything that was read together with
these bytes.
"""

from collections.abc import Callable
from typing import Final
from typing import TypeVar

from foxtaildale import errors

_Value = TypeVar('_Value')

# What a decoder raises for bytes that it can't decode.
_DECODER_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Maximum length of the text of an error, characters.
_MAX_ERROR_CHARS: Final = 200


def decode(
    decoder: Callable[[bytes], _Value], data: bytes, what: str = ''
) -> _Value:
    """Returns what a decoder makes of bytes.

    Args:
        decoder: Called with the bytes.
        data: The bytes.
        what: What the bytes are, for the text of the error.

    Raises:
        errors.DecodeError: The decoder can't decode the bytes.
    """
    try:
        return decoder(data)
    except _DECODER_ERRORS as exc:
        text = str(exc)[:_MAX_ERROR_CHARS]
        raise errors.DecodeError(f'{what}: {text}' if what else text) from exc
