"""Engines reach the wanted state although several keepers send orders."""

from collections.abc import Iterator

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import orders
from foxtaildale_adapters import engines
from tests import fleet

_ENGINES = engines.Engines(short_call_timeout_s=5.0)
_OLD_ORDER = backends.Order(kind='load', value='model-a', fence=5)
_NEW_ORDER = backends.Order(kind='load', value='model-b', fence=9)


@pytest.fixture(params=[True, False], ids=['fenced', 'unfenced'])
def engine(request: pytest.FixtureRequest) -> Iterator[fleet.Proc]:
    args = ['--fenced'] if request.param else []
    with fleet.Fleet() as procs:
        yield procs.standin('engine', '--order-ms', '0', *args)


class _Holder:
    """A keeper that observes an engine and sends orders by the real client."""

    def __init__(self, order: backends.Order, folded: int) -> None:
        self.orders = orders.Orders()
        self.orders.set_wanted('w', order.kind, order.value, order.fence)
        self._folded = folded
        self.sent_count = 0

    def observe_and_order(self, address: str, now: float) -> None:
        for _ in self.orders.due_servers(now):
            observed = _ENGINES.observe(address)
            for order in self.orders.on_observed(
                'w', observed, self._folded, now
            ):
                self.sent_count += 1
                try:
                    _ENGINES.order(address, order)
                except errors.RejectedError:
                    pass


def _loaded_model(engine: fleet.Proc) -> str:
    replies = _ENGINES.observe(engine.address).orders
    return next(reply.value for reply in replies if reply.kind == 'load')


def test_a_delayed_order_of_a_former_holder_is_undone(
    engine: fleet.Proc,
) -> None:
    """A former holder's order arrives after that of the new one.

    An engine that checks no fencing number loads the old model again, and
    serves every request from the wrong weights until it is observed.
    """
    holder = _Holder(_NEW_ORDER, folded=10)
    for now in range(6):
        holder.observe_and_order(engine.address, float(now))
    assert _loaded_model(engine) == 'model-b'
    assert holder.sent_count == 1
    try:
        _ENGINES.order(engine.address, _OLD_ORDER)
    except errors.RejectedError as exc:
        assert exc.code == 'stale-order'
    for now in range(6, 12):
        holder.observe_and_order(engine.address, float(now))
    assert _loaded_model(engine) == 'model-b'


def test_a_former_holder_stops_sending_orders(
    engine: fleet.Proc,
) -> None:
    """A paused keeper resumes with an old preset, as if it were the holder.

    If it went on sending orders, the engine would switch between two models
    while the keeper is disconnected from the log, and would serve neither.
    """
    former = _Holder(_OLD_ORDER, folded=6)
    former.observe_and_order(engine.address, 0.0)
    assert _loaded_model(engine) == 'model-a'
    holder = _Holder(_NEW_ORDER, folded=10)
    for now in range(1, 40):
        holder.observe_and_order(engine.address, float(now))
        former.observe_and_order(engine.address, now + 0.5)
    assert _loaded_model(engine) == 'model-b'
    assert (former.sent_count, holder.sent_count) == (1, 1)
    assert former.orders.status()[0].behind


def test_the_fencing_number_is_raised_if_the_value_is_set_already(
    engine: fleet.Proc,
) -> None:
    """A switch wants the model that the engine has loaded already.

    Without an order that raises the fencing number, the engine would still
    accept an order from between the two switches.
    """
    _ENGINES.order(engine.address, _OLD_ORDER)
    again = backends.Order(kind='load', value='model-a', fence=12)
    _Holder(again, folded=13).observe_and_order(engine.address, 0.0)
    replies = {r.kind: r for r in _ENGINES.observe(engine.address).orders}
    assert (replies['load'].value, replies['load'].fence) == ('model-a', 12)


def _observed(value: str, fence: int) -> backends.Observed:
    return backends.Observed(
        (backends.OrderReply(kind='load', value=value, fence=fence),)
    )


def test_an_order_is_repeated_until_it_is_observed() -> None:
    """An engine takes minutes to load, or the order was lost.

    If each observation sent the order again, orders would accumulate at the
    weight store.
    """
    holder = orders.Orders()
    holder.set_wanted('w', 'load', 'b', 9)
    sent_at = []
    now = 0.0
    while now < 60.0:
        if holder.due_servers(now) and holder.on_observed(
            'w', _observed('a', 5), 10, now
        ):
            sent_at.append(now)
        now += 0.25
    assert sent_at == [0.0, 0.5, 1.5, 3.5, 7.5, 15.5, 31.5, 47.5]
    assert holder.on_observed('w', _observed('b', 9), 10, 60.0) == ()
    assert holder.status()[0].given == 0
    assert len(holder.on_observed('w', _observed('a', 5), 10, 61.0)) == 1


def test_an_older_record_changes_nothing() -> None:
    holder = orders.Orders()
    holder.set_wanted('w', 'load', 'b', 9)
    holder.set_wanted('w', 'load', 'a', 5)
    assert holder.status()[0].wanted == 'b'


def test_an_order_with_an_unlogged_fencing_number_is_replaced() -> None:
    """An operator sends an order with a fencing number that is not in the log.

    Once the log has passed that number, the holder knows that no record
    requested the order, and sends its own order again.
    """
    holder = orders.Orders()
    holder.set_wanted('w', 'load', 'b', 9)
    assert holder.on_observed('w', _observed('x', 30), 20, 0.0) == ()
    assert holder.on_observed('w', _observed('x', 30), 31, 2.0) != ()


def test_a_server_of_another_coordinator_gets_no_orders() -> None:
    holder = orders.Orders()
    holder.set_wanted('w', 'load', 'b', 9)
    holder.on_poll_failed('w', 0.0)
    assert holder.due_servers(1.0) == ()
    assert holder.due_servers(2.0) == ('w',)
    holder.remove('w')
    assert holder.due_servers(9.0) == ()
    assert holder.on_observed('w', _observed('a', 1), 10, 9.0) == ()


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            # The keeper that observes and sends orders, or reads the log to
            # its end.
            strategies.tuples(
                strategies.sampled_from(['look', 'read']),
                strategies.integers(0, 2),
            ),
            # A delayed order arrives, possibly for the second time.
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
    """Three keepers act in turn as the holder of one engine.

    Two have not read the newest record; orders arrive late and twice. When no
    order is in transit, the engine must have the state that the log records.
    """
    holders = [orders.Orders() for _ in range(3)]
    folded = [4, 6, 10]
    for holder, (value, fence) in zip(
        holders, [('a', 3), ('b', 5), ('c', 9)], strict=True
    ):
        holder.set_wanted('w', 'load', value, fence)
    state = ('', 0)
    sent: list[backends.Order] = []
    now = 0.0

    def apply_order(order: backends.Order) -> tuple[str, int]:
        if fenced and order.fence < state[1]:
            return state
        return (order.value, order.fence)

    def observe(index: int) -> tuple[backends.Order, ...]:
        return holders[index].on_observed(
            'w', _observed(*state), folded[index], now
        )

    for action, index in schedule:
        now += 20.0
        if action == 'read':
            holders[index].set_wanted('w', 'load', 'c', 9)
            folded[index] = 10
        elif action == 'late' and index < len(sent):
            state = apply_order(sent[index])
        elif action == 'look':
            for order in observe(index):
                sent.append(order)
                state = apply_order(order)
    # The keeper that has read the complete log is now the only holder.
    for _ in range(3):
        now += 20.0
        for order in observe(2):
            state = apply_order(order)
    assert state == ('c', 9)
