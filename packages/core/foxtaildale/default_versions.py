"""The default software version of a service: that of streams saved nowhere.

Each service has one default version, kept in the store. A stream of any other
version is saved in the store before its caller receives the first event. So the
version of every stream can be told from the store alone, also after all entry
VMs have lost their memory: it is the saved one, else the default one. While a
service has one version, nothing is written.

The default version changes only when the servers of the present one have been
gone for longer than their streams may be resumed.

The time is an argument.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Set
from typing import Final

import msgspec

# Value of `DefaultVersion.others_from` while no other version has streams.
ALONE: Final = -1


class DefaultVersion(msgspec.Struct, array_like=True, frozen=True):
    """The default version of a service, as stored in the store."""

    version: str
    # Position in the topic of saved origins from which on the streams of other
    # versions are saved; `ALONE` if none of them may be resumed any more.
    others_from: int = ALONE


class DefaultChoice:
    """Decides when the default version of one service changes."""

    __slots__ = ('_alone_since', '_gone_since')

    def __init__(self) -> None:
        # Since when the default version has had no server, and since when no
        # other version may have begun streams, seconds; None if that is not so.
        self._gone_since: float | None = None
        self._alone_since: float | None = None

    def next_default(
        self,
        now: float,
        current: DefaultVersion | None,
        listed: Mapping[str, int],
        recent: Set[str],
        *,
        window_s: float,
        saved_end: Callable[[], int],
    ) -> DefaultVersion | None:
        """Returns the new default version; None if nothing changes.

        Args:
            now: Seconds.
            current: The present default version; None if there is none.
            listed: Number of servers that begin streams, by version.
            recent: Versions whose streams may still be resumed, as far as this
                entry VM knows.
            window_s: Time in which a stream may be resumed, seconds.
            saved_end: Returns the position behind the origins that are saved so
                far.
        """
        if not listed:
            return None
        most_common = max(
            listed, key=lambda version: (listed[version], version)
        )
        if current is None:
            # All streams so far are saved.
            is_alone = len(recent | listed.keys()) == 1
            others_from = ALONE if is_alone else saved_end()
            return DefaultVersion(most_common, others_from)
        if current.version in listed:
            self._gone_since = None
        elif self._gone_since is None:
            self._gone_since = now
        elif now - self._gone_since >= window_s:
            changed = DefaultVersion(most_common, saved_end())
            self._gone_since = None
            return changed
        if (recent | listed.keys()) - {current.version}:
            self._alone_since = None
            if current.others_from == ALONE:
                return DefaultVersion(current.version, saved_end())
        elif self._alone_since is None:
            self._alone_since = now
        elif (
            current.others_from != ALONE and now - self._alone_since >= window_s
        ):
            return DefaultVersion(current.version)
        return None
