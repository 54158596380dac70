"""Mechanism that bounds each cost at the target, and its first bottleneck."""

import attrs


@attrs.frozen(kw_only=True)
class Mechanism:
    """Text for the costs whose slope names share a prefix."""

    prefix: str
    carried_by: str
    breaks_first: str


_MECHANISMS = (
    Mechanism(
        prefix='peers.membership',
        carried_by='the membership list, read less often as it grows',
        breaks_first='traffic: each VM reads the whole list',
    ),
    Mechanism(
        prefix='peers.call',
        carried_by='frames of many calls where calls are frequent',
        breaks_first='processor time: at this rate few calls share a frame',
    ),
    Mechanism(
        prefix='peers.',
        carried_by='cells of at most 16 VMs; other links on demand; '
        'heartbeats rarer in larger cells',
        breaks_first='processor time for heartbeats if cells grow',
    ),
    Mechanism(
        prefix='spending.',
        carried_by='grants from budget to VM, sized by demand; batched '
        'settlement',
        breaks_first='table writes, if VMs settle one by one',
    ),
    Mechanism(
        prefix='budgets.',
        carried_by='grants from budget to VM, sized by demand; batched '
        'settlement',
        breaks_first='table writes, if VMs settle one by one',
    ),
    Mechanism(
        prefix='requests.',
        carried_by='a witness chosen by hash of the request key; group commit '
        'of intents',
        breaks_first='table writes for calls that may not be repeated',
    ),
    Mechanism(
        prefix='routing.',
        carried_by='local choice from bounded load and cache events',
        breaks_first='memory for runners that every VM knows',
    ),
    Mechanism(
        prefix='upstreams.',
        carried_by='slots lent by owners found by hash; bounded windows',
        breaks_first='memory held for slow readers',
    ),
    Mechanism(
        prefix='notes.',
        carried_by='a few readers of the table in each zone and a tree',
        breaks_first='table reads, if every VM polls',
    ),
    Mechanism(
        prefix='moves.',
        carried_by='a steering VM for each move, under a lease',
        breaks_first='messages of evidence at the steering VM',
    ),
    Mechanism(
        prefix='entry.',
        carried_by='a task for each request; tokens coalesced into chunks',
        breaks_first='processor time for each chunk that is forwarded',
    ),
)
_DEFAULT_MECHANISM = Mechanism(
    prefix='',
    carried_by='see the measurement',
    breaks_first='see the measurement',
)


def mechanism_of(name: str) -> Mechanism:
    """Returns the first mechanism whose prefix matches ``name``."""
    for mechanism in _MECHANISMS:
        if name.startswith(mechanism.prefix):
            return mechanism
    return _DEFAULT_MECHANISM
