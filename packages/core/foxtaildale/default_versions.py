"""The default software version of a service: that of streams saved nowhere.

Each service has one default version, kept in the store. A stream of any other
version is saved in the store before its caller receives the first event. So the
version of every stream can be told from the store alone, also after all entry
VMs have lost their memory: it is the saved one, else the default one. While a
service has one version, nothing is written.

A default version is retired as soon as its servers are gone: from then on, the
streams of all versions are saved. It is replaced when it has been retired for
longer than its streams may be resumed. Its servers may come back meanwhile, and
be listed by one entry VM before the one that decides.

The time is an argument.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Set
from typing import Final

import msgspec

# Value of `DefaultVersion.others_from` while no other version has streams.
ALONE: Final = -1
# Time for which its servers must be gone before a version is retired, seconds.
RETIRE_S: Final = 2.0
# Longest time between two decisions, seconds. After a longer one, this process
# may have stood still, and what it saw before says nothing.
MAX_STEP_S: Final = 1.5


class DefaultVersion(msgspec.Struct, array_like=True, frozen=True):
    """The default version of a service, as stored in the store."""

    version: str
    # Position in the topic of saved origins from which on the streams of other
    # versions are saved; `ALONE` if none of them may be resumed any more.
    others_from: int = ALONE
    # Epoch of the store in which it was written. A store that was restored from
    # a copy may lack saved origins.
    epoch: int = 0
    # Whether streams that are saved nowhere are of this version. They may not be
    # while some began before there was a default version.
    is_settled: bool = True
    # Whether streams of this version are saved as well.
    is_retired: bool = False


class DefaultChoice:
    """Decides when the default version of one service changes."""

    __slots__ = (
        '_alone_since',
        '_gone_since',
        '_stepped_at',
        '_unchanged_since',
    )

    def __init__(self) -> None:
        # Since when the default version has had no server, since when no other
        # version may have begun streams, and since when an unsettled or retired
        # version has been the default one, seconds; None if that is not so.
        self._gone_since: float | None = None
        self._alone_since: float | None = None
        self._unchanged_since: float | None = None
        # When the last decision was made, seconds.
        self._stepped_at: float | None = None

    def next_default(
        self,
        now: float,
        current: DefaultVersion | None,
        listed: Mapping[str, int],
        recent: Set[str],
        *,
        window_s: float,
        epoch: int,
        saved_end: Callable[[], int],
        first_start: bool = False,
    ) -> DefaultVersion | None:
        """Returns the new default version; None if nothing changes.

        Args:
            now: Seconds.
            current: The present default version; None if there is none.
            listed: Number of servers that begin streams, by version; from a
                list that is current.
            recent: Versions whose streams may still be resumed, as far as this
                entry VM knows.
            window_s: Time in which a stream may be resumed, seconds.
            epoch: The present epoch of the store.
            saved_end: Returns the position behind the origins that are saved so
                far.
            first_start: Whether no stream can have begun before there was a
                default version.
        """
        if self._stepped_at is None or now - self._stepped_at > MAX_STEP_S:
            self._gone_since = self._alone_since = None
            self._unchanged_since = None
        self._stepped_at = now
        if not listed:
            return None
        if current is None or current.epoch != epoch:
            self._unchanged_since = None
            version = max(listed, key=lambda name: (listed[name], name))
            if current is not None and current.version in listed:
                version = current.version
            is_alone = len(recent | listed.keys()) == 1
            return DefaultVersion(
                version,
                ALONE if is_alone and first_start else saved_end(),
                epoch,
                is_settled=first_start,
            )
        changed = self._retire(
            now, current, listed, window_s=window_s, saved_end=saved_end
        )
        if changed is not None:
            return changed
        if not current.is_settled and self._is_over(now, window_s):
            return msgspec.structs.replace(current, is_settled=True)
        return self._separate(
            now, current, listed, recent, window_s=window_s, saved_end=saved_end
        )

    def _retire(
        self,
        now: float,
        current: DefaultVersion,
        listed: Mapping[str, int],
        *,
        window_s: float,
        saved_end: Callable[[], int],
    ) -> DefaultVersion | None:
        """Retires or replaces a version whose servers are gone."""
        if current.version in listed:
            self._gone_since = None
            if current.is_retired:
                self._unchanged_since = None
                return msgspec.structs.replace(current, is_retired=False)
            return None
        if self._gone_since is None:
            self._gone_since = now
        if not current.is_retired:
            if now - self._gone_since < RETIRE_S:
                return None
            self._unchanged_since = None
            return msgspec.structs.replace(current, is_retired=True)
        if not self._is_over(now, window_s):
            return None
        changed = DefaultVersion(
            max(listed, key=lambda name: (listed[name], name)),
            saved_end(),
            current.epoch,
        )
        self._gone_since = self._unchanged_since = None
        return changed

    def _separate(
        self,
        now: float,
        current: DefaultVersion,
        listed: Mapping[str, int],
        recent: Set[str],
        *,
        window_s: float,
        saved_end: Callable[[], int],
    ) -> DefaultVersion | None:
        """Records from where on other versions have streams, or that none has."""
        if (recent | listed.keys()) - {current.version}:
            self._alone_since = None
            if current.others_from == ALONE:
                return msgspec.structs.replace(current, others_from=saved_end())
            return None
        if self._alone_since is None:
            self._alone_since = now
        is_over = now - self._alone_since >= window_s
        if current.others_from != ALONE and is_over and current.is_settled:
            return msgspec.structs.replace(current, others_from=ALONE)
        return None

    def _is_over(self, now: float, window_s: float) -> bool:
        """Whether the present state has lasted for as long as a stream may."""
        if self._unchanged_since is None:
            self._unchanged_since = now
        return now - self._unchanged_since >= window_s
