"""Callers that hang up, as the watcher of their connections notices them."""

import select
import socket
import threading

from foxtaildale_adapters import disconnects


def _raise(exc: Exception) -> None:
    raise exc


def test_a_late_event_of_another_connection_ends_no_watch() -> None:
    """Guards against a caller taken for gone since it got a used descriptor."""
    watcher = disconnects.Watcher(_raise)
    old, old_peer = socket.socketpair()
    fd = old.fileno()
    watcher.add(fd, lambda: False, lambda: None)
    old_peer.close()
    # The watcher's thread has the event and is held up before it looks.
    assert watcher._epoll.poll(1.0)[0][1] & select.EPOLLHUP
    watcher.remove(fd)
    old.close()
    new, new_peer = socket.socketpair()
    if new.fileno() != fd:
        new, new_peer = new_peer, new
    assert new.fileno() == fd
    gone: list[bool] = []
    watcher.add(fd, lambda: False, lambda: gone.append(True))
    watcher._handle_event(fd)
    assert not gone
    new_peer.close()
    watcher._handle_event(fd)
    assert gone
    new.close()


def test_a_caller_that_hangs_up_is_noticed() -> None:
    watcher = disconnects.Watcher(_raise)
    watcher.start()
    near, far = socket.socketpair()
    gone = threading.Event()
    watcher.add(near.fileno(), lambda: False, gone.set)
    far.close()
    assert gone.wait(2.0)
    watcher.close()
    near.close()
