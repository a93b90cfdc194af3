"""The grammar of HTTP/1.1 requests (RFC 9112, 9110, 3986).

What it does not accept is refused, since another parser could read it as
another request, or as two. It is stricter than the standard in one way: a
target has the origin form, and a chunked body no other coding.
"""

import re
from typing import Final

_TOKEN: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Characters of a segment of a path (RFC 3986, 3.3).
_PCHAR: Final = rb"(?:[0-9A-Za-z\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})"
_QUOTED_STRING: Final = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
)
# Characters of a field value that are not white space.
_FIELD_VCHAR: Final = rb'[\x21-\x7e\x80-\xff]'

REQUEST_LINE: Final = re.compile(
    rb'%b /(?:%b|/)*+(?:\?(?:%b|[/?])*+)? HTTP/1\.[01]\r\n'
    % (_TOKEN, _PCHAR, _PCHAR)
)
# Groups: name and value.
FIELD_LINE: Final = re.compile(
    rb'(%b):[ \t]*+((?:%b++(?:[ \t]++%b++)*+)?)[ \t]*+\r\n'
    % (_TOKEN, _FIELD_VCHAR, _FIELD_VCHAR)
)
CHUNK_LINE: Final = re.compile(
    rb'[0-9A-Fa-f]{1,16}'
    rb'(?:[ \t]*+;[ \t]*+%b(?:[ \t]*+=[ \t]*+(?:%b|%b))?)*+\r\n'
    % (_TOKEN, _TOKEN, _QUOTED_STRING)
)
_DIGITS: Final = re.compile(rb'[0-9]{1,19}')
_CHUNKED: Final = b'chunked'


def check_framing(
    version: bytes, length: bytes | None, coding: bytes | None
) -> None:
    """Checks that the head of a request tells where its body ends.

    Args:
        version: 'HTTP/1.0' or 'HTTP/1.1'.
        length: Value of Content-Length; None if there is none.
        coding: Value of Transfer-Encoding; None if there is none.

    Raises:
        ValueError: Two parsers may see two ends.
    """
    if length is not None and not _DIGITS.fullmatch(length):
        raise ValueError('the Content-Length header is not a number')
    if coding is None:
        return
    if version != b'HTTP/1.1':
        raise ValueError('Transfer-Encoding requires HTTP/1.1')
    if length is not None:
        raise ValueError(
            'Content-Length and Transfer-Encoding exclude each other'
        )
    if coding.lower() != _CHUNKED:
        raise ValueError('the transfer coding is not supported')
