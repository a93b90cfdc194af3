"""Names of the incarnations of processes.

An incarnation is one start of one process, named `ROLE@ENTRY_VM#RANDOM`. A
restarted process is another incarnation, so it is never bound by what the
earlier one promised.
"""

import uuid


def make(role: str, entry_vm: str) -> str:
    """Returns the name of a new incarnation."""
    return f'{role}@{entry_vm}#{uuid.uuid4().hex[:12]}'


def entry_vm(incarnation: str) -> str:
    """Returns the VM of an incarnation; empty if the name contains none."""
    _role, _at, vm_and_random = incarnation.partition('@')
    return vm_and_random.partition('#')[0]
