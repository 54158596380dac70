"""Messages between the VMs that use a runner and its slot owner."""

import attrs


@attrs.frozen(kw_only=True)
class SlotWant:
    """Slots of one runner that a VM asks for."""

    upstream: str
    limit_slots: int  # requests that the runner can hold, by configuration
    wanted: int  # slots wanted, those in use included
    in_use: int
    held: int  # slots that the VM may use now


@attrs.frozen(kw_only=True)
class SlotRenewal:
    """All that one VM wants of one slot owner."""

    sequence: int  # grows with each renewal of the VM
    wants: tuple[SlotWant, ...]


@attrs.frozen(kw_only=True)
class SlotLease:
    """Slots lent until the renewal's validity is over."""

    upstream: str
    slots: int


@attrs.frozen(kw_only=True)
class SlotLeases:
    """Reply to a renewal; runners that are not owned here are left out."""

    leases: tuple[SlotLease, ...]
