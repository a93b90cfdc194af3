"""Names of process starts.

An incarnation names one start of one process: `ROLE@ENTRY_VM#RANDOM`. A process
that is started again is another incarnation, so nothing that was promised by
the first is ever taken to bind the second.
"""

import uuid


def make(role: str, entry_vm: str) -> str:
    """Returns a new incarnation."""
    return f'{role}@{entry_vm}#{uuid.uuid4().hex[:12]}'


def entry_vm(incarnation: str) -> str:
    """Returns the VM that an incarnation runs on; empty if it names none."""
    _role, _at, rest = incarnation.partition('@')
    return rest.partition('#')[0]
