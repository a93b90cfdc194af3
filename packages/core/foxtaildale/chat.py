"""Decodes the body of a chat completion request.

Only the fields that the router needs are decoded. Other fields are ignored
here, since clients send many that only an engine interprets.
"""

from typing import Annotated
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import decoding

# Longest response that a caller may request, tokens.
MAX_OUTPUT_TOKENS: Final = 32_768


class Message(msgspec.Struct, frozen=True):
    """One message of the conversation."""

    role: str
    content: str


class ChatReq(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a chat completion."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    messages: Annotated[
        tuple[Message, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    stream: bool = False
    # None means that the expected length of the preset is used.
    max_tokens: (
        Annotated[int, msgspec.Meta(ge=1, le=MAX_OUTPUT_TOKENS)] | None
    ) = None

    @property
    def prompt(self) -> str:
        """The text that is sent to the engine."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


_decoder: Final = msgspec.json.Decoder(ChatReq)


def decode(body: bytes) -> ChatReq:
    """Decodes a request body.

    Raises:
        errors.DecodeError: The body is not a valid request; the message has the
            reason.
    """
    return decoding.decode(_decoder.decode, body)


def estimate_tokens(prompt: str) -> int:
    """Returns an estimate of the prompt's length in tokens.

    Only the engines have the tokenizer. Scheduling only needs a number that
    grows with the work.
    """
    return max(1, len(prompt.split()))


def prefixes(prompt: str) -> tuple[str, ...]:
    """Returns the digests of the prompt's prefixes, shortest first.

    The engines compute the same digests, so that their cache events can be
    matched.
    """
    return backends.prefixes(prompt.split())
