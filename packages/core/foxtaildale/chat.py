"""The body of a chat completion request, as clients of model servers send it.

Only what the router needs is read; other fields are let through unread, since
clients send many that only an engine knows.
"""

from typing import Annotated
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import errors

# Longest answer a caller may ask for, tokens.
MAX_TOKENS: Final = 32_768


class Message(msgspec.Struct, frozen=True):
    """One message of the conversation."""

    role: str
    content: str


class ChatReq(msgspec.Struct, frozen=True, kw_only=True):
    """A request for an answer of a model."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    messages: Annotated[
        tuple[Message, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    stream: bool = False
    # None means that the preset's expectation is used.
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None = None

    @property
    def prompt(self) -> str:
        """The text that the engine is given."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


_decoder: Final = msgspec.json.Decoder(ChatReq)


def decode(body: bytes) -> ChatReq:
    """Returns the request in a body.

    Raises:
        errors.DecodeError: The body is not such a request; the text says why.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.DecodeError(str(exc)) from exc


def count_tokens(prompt: str) -> int:
    """Returns an estimate of the prompt's length in tokens.

    The engines own the tokenizer; the policy only needs a figure that grows
    with the work.
    """
    return max(1, len(prompt.split()))


def prefixes(prompt: str) -> tuple[str, ...]:
    """Returns the digests of the prompt's prefixes, shortest first.

    They are the engines' own, so that their cache events can be matched.
    """
    return backends.prefixes(prompt.split())
