"""Messages between VMs that use a runner and the owner of its slots."""

import attrs


@attrs.frozen(kw_only=True)
class SlotWant:
    """Request of a VM for slots of one runner."""

    upstream: str
    limit_slots: int  # configured slot count of the runner
    wanted: int  # slots wanted, including those in use
    in_use: int
    held: int  # current limit of the VM


@attrs.frozen(kw_only=True)
class SlotRenewal:
    """Request of a VM to renew its leases from one slot owner."""

    sequence: int  # increases with each renewal of the VM
    wants: tuple[SlotWant, ...]


@attrs.frozen(kw_only=True)
class SlotLease:
    """Slots granted until the validity of the renewal ends."""

    upstream: str
    slots: int


@attrs.frozen(kw_only=True)
class SlotLeases:
    """Reply to a renewal; omits runners that the VM does not own."""

    leases: tuple[SlotLease, ...]
