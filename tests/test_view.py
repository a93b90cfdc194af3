"""What an entry works by, as its keeper's word comes, goes and goes back."""

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import values
from foxtaildaled import view

_CFG = options.Options(
    role='entry',
    entry_vm='vm-1',
    data_centre='halle-nord',
    keeper='127.0.0.1:7000',
    platform='127.0.0.1:9000',
    secret='0123456789abcdef',
    freshness_s=10.0,
)


class Keeper:
    """Stands for the keeper; says what the test has it say."""

    def __init__(self) -> None:
        self.reply: messages.Message | None = None
        self.heard: list[messages.EntryHeartbeat] = []

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        del address, timeout_s
        assert isinstance(msg, messages.EntryHeartbeat)
        self.heard.append(msg)
        if self.reply is None:
            raise errors.NoReplyError('silent')
        return self.reply


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def _says(
    revision: int, listing: values.Listing | None = None
) -> messages.Message:
    in_force = None
    if revision:
        preset = values.Preset(name=f'preset-{revision}', services={})
        in_force = values.InForce(revision, revision, 'd', preset)
    return messages.EntryHeartbeatReply(
        keeper='keeper@vm-1#a', in_force=in_force, listing=listing
    )


def _make() -> tuple[view.View, Keeper, Clock]:
    keeper, clock = Keeper(), Clock()
    return view.View(_CFG, 'entry@vm-1#a', 'a:1', keeper, clock), keeper, clock


def test_an_entry_never_goes_back_even_by_way_of_knowing_nothing() -> None:
    """A keeper restarts in an outage; it knows nothing, then an older preset.

    The entry had worked by revision 3. Going back to 2 would bring back rules
    that the operators had replaced.
    """
    seen, keeper, _clock = _make()
    for revision in (3, 0, 2):
        keeper.reply = _says(revision)
        seen.refresh()
        assert seen.snapshot.revision in (3, 0)
    assert keeper.heard[-1].revision == 3
    keeper.reply = _says(4)
    seen.refresh()
    assert seen.snapshot.revision == 4


def test_a_keeper_that_is_silent_too_long_vouches_for_nothing() -> None:
    """The keeper of this VM hangs while the operators switch elsewhere."""
    seen, keeper, clock = _make()
    keeper.reply = _says(1)
    seen.refresh()
    keeper.reply = None
    clock.now += 9.0
    seen.refresh()
    assert seen.snapshot.revision == 1
    clock.now += 2.0
    assert seen.snapshot.in_force is None


def test_a_backend_server_that_refused_as_leaving_gets_nothing_more() -> None:
    """The list still calls it live when the keeper's next word comes."""
    server = values.BackendServer(
        name='d1',
        address='127.0.0.1:1',
        data_centre='halle-nord',
        service='reader',
        role='decode',
    )
    listing = values.Listing(7, (), (server,))
    seen, keeper, _clock = _make()
    keeper.reply = _says(1, listing)
    seen.refresh()
    assert seen.snapshot.live_servers('reader', 'decode') == (server,)
    seen.report_leaving(server)
    seen.refresh()
    assert seen.snapshot.live_servers('reader', 'decode') == ()
    assert keeper.heard[-1].leaving == ('d1@127.0.0.1:1',)


def test_an_older_list_never_replaces_a_newer_one() -> None:
    """A restarted keeper has its list from a peer that lags."""
    seen, keeper, _clock = _make()
    for version in (5, 4):
        keeper.reply = _says(1, values.Listing(version, (), ()))
        seen.refresh()
    assert seen.snapshot.listing.version == 5
