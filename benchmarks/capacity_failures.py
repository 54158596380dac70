"""Effects of failures at the target size, computed from its figures."""

from collections.abc import Sequence

from benchmarks import capacity_target as target
from benchmarks.capacity_lines import CapacityLine
from benchmarks.report import figure
from teaseldale.peers import CELL_LIMIT_VMS

_RACK_VMS = 40  # assumed; the target does not state a rack size
_TEXT = """## Failures at that size

**{failed} VMs a day and {replaced:,} replaced.** One VM leaves or comes every
{interval:.0f} s. It concerns the {neighbours} other VMs of its cell: their
heartbeats miss it, its budget grants wait for recovery, and requests that it
ran are found by their key. The membership list changes as often, which is why
VMs read it less often as it grows. On average {streams:.0f} requests/s and
{tokens:,.0f} tokens/s are cut; callers repeat them with their key.

**A rack.** With {rack} VMs in a rack (assumed), {rack_share:.1f}% of the
fleet goes at once, over up to {rack_cells} cells of its availability zone,
about {rack_in_cell:.1f} VMs of each. The VMs left in a cell recover grants of
several neighbours in one batch.

**An availability zone.** One of {zones} holds about {zone_vms:.0f} VMs and
{zone_runners:,.0f} runners; the others take {zone_growth:.0f}% more requests
each, {grown:.1f} requests/s for a VM. Cells lie within one zone, so no cell
is split, but no cell is left to recover the grants: they return when their
validity has run out. Admission refuses by priority what the runners left
cannot serve.

**Regions apart for an hour.** Each region goes on with the grants it holds
and with the part of the platform's service that it reaches. During that hour
{hour_requests:,.0f} requests arrive; a budget that is drawn on in every region
can be spent only as far as the grants of each region reach. At the busiest
{region_requests:,.0f} requests/s fall to a region. About {hour_changes:.0f}
changes of configuration come up in the hour; those that need every zone stay
pending by name.
"""


def failure_lines(_lines: Sequence[CapacityLine]) -> list[str]:
    """Returns the page's section on failures."""
    zone_vms = target.VM_COUNT / target.ZONE_COUNT
    leaving = target.FAILED_VMS_PER_DAY + target.REPLACED_VMS_PER_DAY
    cells = max(1, round(zone_vms / CELL_LIMIT_VMS))
    share = target.REQUESTS_PER_SECOND / target.VM_COUNT
    return [
        _TEXT.format(
            failed=target.FAILED_VMS_PER_DAY,
            replaced=target.REPLACED_VMS_PER_DAY,
            interval=target.SECONDS_PER_DAY / leaving,
            neighbours=f'up to {CELL_LIMIT_VMS - 1}',
            streams=share,
            tokens=target.TOKENS_PER_SECOND / target.VM_COUNT,
            rack=_RACK_VMS,
            rack_share=100 * _RACK_VMS / target.VM_COUNT,
            rack_cells=figure(min(cells, _RACK_VMS)),
            rack_in_cell=_RACK_VMS / cells,
            zones=target.ZONE_COUNT,
            zone_vms=zone_vms,
            zone_runners=target.RUNNER_COUNT / target.ZONE_COUNT,
            zone_growth=100 / (target.ZONE_COUNT - 1),
            grown=share * target.ZONE_COUNT / (target.ZONE_COUNT - 1),
            hour_requests=target.REQUESTS_PER_SECOND * 3600,
            region_requests=target.REQUESTS_PER_SECOND / target.REGION_COUNT,
            hour_changes=target.CHANGES_PER_DAY / 24,
        ),
    ]
