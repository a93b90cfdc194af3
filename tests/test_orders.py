"""Orders to engines leave the wanted state, whoever else gives orders."""

from collections.abc import Iterator

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import orders
from foxtaildale_adapters import engines
from tests import fleet

_MODELS = engines.Engines(short_s=5.0)
_OLD = backends.Order(kind='load', value='model-a', fence=5)
_NEW = backends.Order(kind='load', value='model-b', fence=9)


@pytest.fixture(params=[True, False], ids=['fenced', 'unfenced'])
def engine(request: pytest.FixtureRequest) -> Iterator[fleet.Proc]:
    args = ['--fenced'] if request.param else []
    with fleet.Fleet() as procs:
        yield procs.standin('engine', '--order-ms', '0', *args)


class _Holder:
    """A keeper as far as orders go: it looks and orders, by the real client."""

    def __init__(self, order: backends.Order, folded: int) -> None:
        self.orders = orders.Orders()
        self.orders.want('w', order.kind, order.value, order.fence)
        self._folded = folded
        self.given = 0

    def work(self, address: str, now: float) -> None:
        for _ in self.orders.due(now):
            observed = _MODELS.observe(address)
            for order in self.orders.seen('w', observed, self._folded, now):
                self.given += 1
                try:
                    _MODELS.order(address, order)
                except errors.RejectedError:
                    pass


def _loaded(engine: fleet.Proc) -> str:
    found = _MODELS.observe(engine.address).orders
    return next(reply.value for reply in found if reply.kind == 'load')


def test_an_order_that_was_long_on_its_way_is_undone(
    engine: fleet.Proc,
) -> None:
    """A former holder's order arrives after that of the new one.

    An engine that checks no fencing number loads the old model again. It
    answers every request from the wrong weights until someone looks.
    """
    holder = _Holder(_NEW, folded=10)
    for now in range(6):
        holder.work(engine.address, float(now))
    assert _loaded(engine) == 'model-b'
    assert holder.given == 1
    try:
        _MODELS.order(engine.address, _OLD)
    except errors.RejectedError as exc:
        assert exc.code == 'stale-order'
    for now in range(6, 12):
        holder.work(engine.address, float(now))
    assert _loaded(engine) == 'model-b'


def test_a_former_holder_that_goes_on_does_not_fight(
    engine: fleet.Proc,
) -> None:
    """A keeper was paused, holds an old preset and believes it is in charge.

    If it ordered on, the engine would load one model after the other for as
    long as the keeper is cut from the log, and serve neither.
    """
    former = _Holder(_OLD, folded=6)
    former.work(engine.address, 0.0)
    assert _loaded(engine) == 'model-a'
    holder = _Holder(_NEW, folded=10)
    for now in range(1, 40):
        holder.work(engine.address, float(now))
        former.work(engine.address, now + 0.5)
    assert _loaded(engine) == 'model-b'
    assert (former.given, holder.given) == (1, 1)
    assert former.orders.status()[0].behind


def test_the_fencing_number_is_raised_where_the_value_is_right(
    engine: fleet.Proc,
) -> None:
    """A switch wants the model that is loaded already.

    Without a new order the engine would still take the one in between.
    """
    _MODELS.order(engine.address, _OLD)
    again = backends.Order(kind='load', value='model-a', fence=12)
    _Holder(again, folded=13).work(engine.address, 0.0)
    found = {r.kind: r for r in _MODELS.observe(engine.address).orders}
    assert (found['load'].value, found['load'].fence) == ('model-a', 12)


def _seen(value: str, fence: int) -> backends.Observed:
    return backends.Observed(
        (backends.OrderReply(kind='load', value=value, fence=fence),)
    )


def test_an_order_is_repeated_until_it_is_observed() -> None:
    """An engine takes minutes to load, or the order was lost.

    Given again at every look, orders would pile up behind the weight store.
    """
    holder = orders.Orders()
    holder.want('w', 'load', 'b', 9)
    given = []
    now = 0.0
    while now < 60.0:
        if holder.due(now) and holder.seen('w', _seen('a', 5), 10, now):
            given.append(now)
        now += 0.25
    assert given == [0.0, 0.5, 1.5, 3.5, 7.5, 15.5, 31.5, 47.5]
    assert holder.seen('w', _seen('b', 9), 10, 60.0) == ()
    assert holder.status()[0].given == 0
    assert len(holder.seen('w', _seen('a', 5), 10, 61.0)) == 1


def test_an_older_record_changes_nothing() -> None:
    holder = orders.Orders()
    holder.want('w', 'load', 'b', 9)
    holder.want('w', 'load', 'a', 5)
    assert holder.status()[0].wanted == 'b'


def test_a_number_that_the_log_does_not_know_is_overruled() -> None:
    """Someone orders by hand with an invented fencing number.

    Once the log has passed that number, the holder knows that no record asked
    for it, and orders again.
    """
    holder = orders.Orders()
    holder.want('w', 'load', 'b', 9)
    assert holder.seen('w', _seen('x', 30), 20, 0.0) == ()
    assert holder.seen('w', _seen('x', 30), 31, 2.0) != ()


def test_a_server_of_another_home_is_left_alone() -> None:
    holder = orders.Orders()
    holder.want('w', 'load', 'b', 9)
    holder.unseen('w', 0.0)
    assert holder.due(1.0) == ()
    assert holder.due(2.0) == ('w',)
    holder.forget('w')
    assert holder.due(9.0) == ()
    assert holder.seen('w', _seen('a', 1), 10, 9.0) == ()


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            # Who looks and orders, and who has read the log to its end.
            strategies.tuples(
                strategies.sampled_from(['look', 'read']),
                strategies.integers(0, 2),
            ),
            # An order that was on its way arrives, again perhaps.
            strategies.tuples(
                strategies.just('late'), strategies.integers(0, 7)
            ),
        ),
        max_size=40,
    ),
    strategies.booleans(),
)
def test_every_schedule_ends_in_the_newest_wanted_state(
    schedule: list[tuple[str, int]], fenced: bool
) -> None:
    """Three keepers believe in turn that they are in charge of an engine.

    Two of them have not read the newest record; orders arrive late and twice.
    When nothing more is on its way, the engine must be set as the log says.
    """
    holders = [orders.Orders() for _ in range(3)]
    folded = [4, 6, 10]
    for holder, (value, fence) in zip(
        holders, [('a', 3), ('b', 5), ('c', 9)], strict=True
    ):
        holder.want('w', 'load', value, fence)
    state = ('', 0)
    sent: list[backends.Order] = []
    now = 0.0

    def take(order: backends.Order) -> tuple[str, int]:
        if fenced and order.fence < state[1]:
            return state
        return (order.value, order.fence)

    def look(who: int) -> tuple[backends.Order, ...]:
        return holders[who].seen('w', _seen(*state), folded[who], now)

    for action, who in schedule:
        now += 20.0
        if action == 'read':
            holders[who].want('w', 'load', 'c', 9)
            folded[who] = 10
        elif action == 'late' and who < len(sent):
            state = take(sent[who])
        elif action == 'look':
            for order in look(who):
                sent.append(order)
                state = take(order)
    # The keeper that has read the log is the one in charge now.
    for _ in range(3):
        now += 20.0
        for order in look(2):
            state = take(order)
    assert state == ('c', 9)
