"""VMs before runners that become cold, in virtual time."""

import anyio
import attrs

from teaseldale.forwarding.tests.entry_world import fixed_members
from teaseldale.forwarding.tests.fleet_world import now_ms
from teaseldale.forwarding.tests.limited_fleet import LimitedFleet

COLD_PER_S = 7.7
COLD_START_MS = 3000
_SILENT_S = 30  # until VMs remove one that is silent from the member list
_FEED_MS = (5, 60)  # from a runner's entry until a VM has read it


class ColdFleet(LimitedFleet):
    """VMs before runners of a service whose runners become cold."""

    def __init__(self, *, vm_count, runner_count, kind):
        # VMs that do not read entries and changes of the member list.
        self.storeless = frozenset()
        self.stale_members = fixed_members(vm_count)
        super().__init__(
            vm_count=vm_count,
            runner_count=runner_count,
            kind=kind,
        )
        (service,) = self.configuration.services.values()
        service = attrs.evolve(
            service,
            cold_limit_per_s=COLD_PER_S,
            cold_start_ms=COLD_START_MS,
        )
        self.configuration = attrs.evolve(
            self.configuration,
            services={service.name: service},
        )
        self.cold_ms = {}  # by runner: when it became cold, and is warm again

    def members_of(self, vm_number):
        """Returns a list that keeps all VMs for VMs that lose the store."""
        if vm_number in self.storeless:
            return self.stale_members
        return self.members

    def turn_cold(self, runners, left_ms):
        """Makes runners cold and writes it to their entries."""
        for runner in runners:
            name = runner.entry.runner_id
            self.cold_ms.setdefault(name, []).append(
                (now_ms(), now_ms() + left_ms),
            )
            runner.entry = attrs.evolve(
                runner.entry,
                cold_left_ms=left_ms,
                revision=runner.entry.revision + 1,
            )
        for vm in self.vms:
            if vm.number not in self.storeless:
                self.tasks.start_soon(
                    self._read_entries,
                    vm,
                    tuple(runner.entry for runner in runners),
                )

    async def _read_entries(self, vm, entries):
        await anyio.sleep(self.random.uniform(*_FEED_MS) / 1000)
        vm.parts.directory.apply_changes(
            {entry.runner_id: entry for entry in entries},
        )
        vm.parts.announcements.note_entries(
            entries,
            self.configuration.services,
        )

    def note_all_entries(self):
        """Lets all VMs know the first entries, which state no cold runner."""
        for vm in self.vms:
            vm.parts.announcements.note_entries(
                vm.parts.directory.all_runners(),
                self.configuration.services,
            )

    def end_holder(self, runner):
        """Ends the process of the VM that holds the limit of a runner."""
        vm = next(vm for vm in self.vms if vm.number not in self.cut_numbers)
        holder = vm.parts.limits._holders.holder_of(
            runner.entry.incarnation_name,
        )
        (ended,) = (vm for vm in self.vms if f'vm-{vm.number}' == holder)
        ended.end()
        self.vms = [vm for vm in self.vms if vm is not ended]
        self.tasks.start_soon(self._drop_silent, holder)

    async def _drop_silent(self, vm_name):
        """Removes a VM from the list once others have noticed its end."""
        await anyio.sleep(_SILENT_S)
        self.members.remove({vm_name})
