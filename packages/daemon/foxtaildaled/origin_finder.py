"""Finds the service and software version at which a resumed stream goes on.

A guess could combine what two versions wrote. A stream whose origin is saved
nowhere is of the default version of its service (`default_versions`). Where the
store can't tell that, the stream is refused as long as servers of several
versions may have begun it.
"""

from collections.abc import Callable
import logging
from typing import Final

from foxtaildale import codes
from foxtaildale import default_versions
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale import stream_origins
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import attempt_state
from foxtaildaled import coordinator_client
from foxtaildaled import default_version_store
from foxtaildaled import origin_reports
from foxtaildaled import origin_store
from foxtaildaled import routed_request
from foxtaildaled import router_state

# Time after the timeout of its route in which a stream may still be resumed,
# seconds. Callers resume within the time that they wait for a response.
RESUME_MARGIN_S: Final = 3.0
# Number of VMs that are asked for an origin; one of them may have served the
# stream and ended, and one may not have the report.
ASKED_VMS: Final = 3
# Longest wait for their replies, seconds.
REPLY_TIMEOUT_S: Final = 0.15
# Time until an unknown origin is looked for again, seconds. As a second version
# comes, VMs report what they had held back.
SECOND_LOOK_S: Final = 0.5
# Maximum age of the newest list of servers known here and at the asked VMs,
# seconds. With an older one, streams may have begun at unknown versions.
MAX_LIST_AGE_S: Final = 10.0
# Age of a list of servers that was never received, milliseconds.
_NO_LIST_AGE_MS: Final = 10**9
# Maximum time for which a first event waits until another VM has the report,
# while several versions serve, seconds. This VM may end right after the event,
# and the store may be away.
MAX_REPORT_WAIT_S: Final = 0.05
# Time within which an origin is saved as a rule, seconds. A first event waits for
# it, as all VMs may end right after the event.
MAX_SAVE_WAIT_S: Final = 0.1
# Further time for which a first event waits if its stream would be taken for one
# of another version as long as it is not saved, seconds.
MAX_LATE_SAVE_WAIT_S: Final = 1.0


class OriginFinder:
    """Binds resumed streams to their origins; reports new streams."""

    __slots__ = (
        '_coordinators',
        '_defaults',
        '_owner',
        '_peers',
        '_reports',
        '_service',
        '_store',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        reports: origin_reports.OriginReports,
        store: origin_store.OriginStore,
        defaults: default_version_store.DefaultVersionStore,
        service: Callable[[str], routes.Service],
    ) -> None:
        self._owner = owner
        self._coordinators = coordinators
        self._peers = peers
        self._reports = reports
        self._store = store
        self._defaults = defaults
        # Returns the settings of a service by its name.
        self._service = service

    def record_first_event(
        self, req: routed_request.RoutedRequest, version: str
    ) -> None:
        """Records the version whose first event is sent to the caller next.

        Raises:
            attempt_state.RequestRefused: The event must not be sent: as long as
                the stream is not saved, it is taken for one of another version.
        """
        req.software_version = version
        if not req.route.resumable:
            return
        service = req.service.name
        origin = _origin(_stream(req, req.caller_request.id), service, version)
        # A stream that is saved nowhere must be of the default version of the
        # only service of its route. A resumed stream is known by its first
        # attempt.
        call = req.caller_request
        is_default = self._defaults.is_default(service, version)
        must_save = not (call.resumes and call.after_event) and not (
            len(req.route.targets) == 1 and is_default
        )
        is_mixed = self._owner.run(
            lambda state, now: len(state.fleet.versions(service, now)) > 1
        )
        wait_s = MAX_REPORT_WAIT_S if is_mixed else 0.0
        # What this VM does not know of the default version may be known where
        # the stream is resumed, and what is not settled may be settled by then.
        unsaved = self._defaults.unsaved_version(service) if must_save else ''
        is_held = must_save and version != unsaved
        is_saved = self._reports.record(
            origin,
            MAX_SAVE_WAIT_S if must_save else wait_s,
            must_save=must_save,
            late_wait_s=MAX_LATE_SAVE_WAIT_S if is_held else 0.0,
        )
        if is_held and not is_saved:
            # The save may still take effect, so that this attempt must not begin
            # at another version. Its caller's next one may.
            req.log(
                'stream not begun',
                software=version,
                default=unsaved,
            )
            raise attempt_state.RequestRefused(codes.FAILED)

    def bind(self, req: routed_request.RoutedRequest) -> None:
        """Binds a resumed stream to the service and version that began it.

        A new stream is bound to the default version while saves are late.

        Raises:
            attempt_state.RequestRefused: The version is not known, and servers
                of several versions may have begun the stream; or a new stream
                could not be saved.
        """
        call = req.caller_request
        if not call.resumes and not call.after_event:
            self._bind_new(req)
            return
        origin, source = self._find(req)
        if origin is None:
            return
        if origin.service != req.service.name:
            req.service = self._service(origin.service)
        req.software_version = origin.version
        req.log(
            'origin known',
            resumes=call.resumes,
            service=origin.service,
            software=origin.version,
            source=source,
            origin_age_ms=origin.age_ms,
        )

    def _bind_new(self, req: routed_request.RoutedRequest) -> None:
        """Binds a new stream to the default version while saves are late.

        Raises:
            attempt_state.RequestRefused: Saves fail, and no default version
                with servers is known.
        """
        if not req.route.resumable or self._reports.saves_in_time():
            return
        service = req.service.name
        default = self._defaults.unsaved_version(service)
        if default:
            req.software_version = default
            req.log('default version only', software=default)
        elif self._reports.saves_fail() and self._owner.run(
            lambda state, now: state.fleet.accepting_versions(service, now)
        ):
            raise attempt_state.RequestRefused(codes.ORIGIN_UNSAVED)

    def answer(self, msg: messages.OriginRequest) -> messages.OriginReply:
        """Handles the request of another VM for an origin."""
        return self._look_up(msg.stream, msg.service)

    def _find(
        self, req: routed_request.RoutedRequest
    ) -> tuple[messages.StreamOrigin | None, str]:
        """Looks for the origin, twice as a report may still be on its way.

        Returns:
            The origin, None if it does not matter, and where it was found.

        Raises:
            attempt_state.RequestRefused: It matters and is not known.
        """
        try:
            return self._find_once(req)
        except attempt_state.RequestRefused as exc:
            req.log('origin looked for again', **exc.figures)
        req.caller_disconnected.wait(SECOND_LOOK_S)
        return self._find_once(req)

    def _find_once(
        self, req: routed_request.RoutedRequest
    ) -> tuple[messages.StreamOrigin | None, str]:
        """Returns the origin, if it matters, and where it was found.

        Raises:
            attempt_state.RequestRefused: It matters and is not known.
        """
        resumes = req.caller_request.resumes
        stream = _stream(req, resumes) if resumes else 0
        service = req.service.name
        services = {target.service for target in req.route.targets}
        own = self._look_up(stream, service)
        if own.origin is not None and own.origin.service in services:
            return own.origin, 'own'
        replies = self._ask(stream, service)
        for reply in replies:
            if reply.origin is not None and reply.origin.service in services:
                return reply.origin, 'peer'
        saved = self._read_saved(req.route, stream, service)
        if saved.origin is not None and saved.origin.service in services:
            return saved.origin, 'store'
        # Another VM may know of a version that this one does not list yet.
        known = (own, *replies)
        versions = {version for reply in known for version in reply.versions}
        is_only = saved.is_alone and versions <= {saved.default}
        is_default = is_only or (saved.has_all and bool(stream))
        if saved.default and is_default and len(services) == 1:
            return _origin(stream, service, saved.default), 'default'
        list_age_ms = min(reply.list_age_ms for reply in known)
        known_s = max(reply.known_ms for reply in known) / 1000
        is_current = list_age_ms < MAX_LIST_AGE_S * 1000
        # Another service of a split route may have begun the stream.
        is_single = len(versions) == 1 and is_current and len(services) == 1
        # A VM that reaches neither the store nor another VM may have missed a
        # version.
        is_alone = not replies and self._has_peers()
        if (
            not saved.default
            and is_single
            and not is_alone
            and known_s >= default_version_store.resume_window_s(req.route)
        ):
            return _origin(stream, service, *versions), 'only version'
        raise attempt_state.RequestRefused(
            codes.ORIGIN_UNKNOWN,
            versions=len(versions),
            list_age_ms=list_age_ms,
            store_read=saved.is_read,
            replies=len(replies),
        )

    def _has_peers(self) -> bool:
        return self._owner.run(lambda state, _: len(state.entry_vms) > 1)

    def _look_up(self, stream: int, service: str) -> messages.OriginReply:
        """Returns what this VM knows of a stream and its service."""

        def read_state(
            state: router_state.RouterState, now: float
        ) -> messages.OriginReply:
            age_ms = state.list_age_ms(now)
            return messages.OriginReply(
                origin=self._reports.find(stream),
                versions=tuple(state.fleet.versions(service, now)),
                list_age_ms=_NO_LIST_AGE_MS if age_ms is None else age_ms,
                known_ms=int(state.list_known_s(now) * 1000),
            )

        return self._owner.run(read_state)

    def _ask(self, stream: int, service: str) -> list[messages.OriginReply]:
        """Asks the VMs that may know a stream."""
        addresses = self._coordinators.successor_addresses(
            origin_reports.subject(stream), ASKED_VMS
        )
        replies = self._peers.request_all(
            addresses,
            messages.OriginRequest(stream=stream, service=service),
            REPLY_TIMEOUT_S,
        )
        return [
            reply
            for reply in replies.values()
            if isinstance(reply, messages.OriginReply)
        ]

    def _read_saved(
        self, route: routes.Route, stream: int, service: str
    ) -> '_Saved':
        """Returns what the store tells of a stream and its service."""
        epoch = self._owner.run(
            lambda state, _: positions.epoch(state.servers_position())
        )
        saved = _Saved()
        try:
            default = self._defaults.read(service)
            saved.origin = self._store.find(stream, epoch)
        except (errors.PortError, errors.DecodeError) as exc:
            logs.event(logging.WARNING, 'origins not read', error=str(exc))
            return saved
        saved.is_read = True
        if (
            default is not None
            and default.is_settled
            and default.epoch == epoch
        ):
            saved.default = default.version
            saved.is_alone = default.others_from == default_versions.ALONE
            saved.has_all = self._store.has_all(
                positions.make(epoch, 0)
                if saved.is_alone
                else default.others_from,
                route.timeout_s + RESUME_MARGIN_S,
            )
        return saved


class _Saved:
    """What the store tells of a stream and its service."""

    __slots__ = ('default', 'has_all', 'is_alone', 'is_read', 'origin')

    def __init__(self) -> None:
        # Whether the store could be read.
        self.is_read = False
        self.origin: messages.StreamOrigin | None = None
        # The default version of the service; empty if it is not known.
        self.default = ''
        # Whether no other version has streams that may be resumed, and whether
        # the store has the origins of all that may be.
        self.is_alone = False
        self.has_all = False


def _stream(req: routed_request.RoutedRequest, attempt: str) -> int:
    return stream_origins.digest(req.caller_request.account, attempt)


def _origin(stream: int, service: str, version: str) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        stream=stream, service=service, version=version
    )
