"""Mixed releases during a rolling upgrade, with three version policies.

The 8 VMs of a fleet are upgraded one by one. After each step every VM sends
every other VM the same mix of messages, of which one in twenty uses a feature
that only the new release knows. A message counts as refused if its receiver
rejects it, and as misread if its receiver ignores the feature.
"""

import enum
import random

import attrs

from benchmarks.rows import BenchmarkRow
from teaseldale.peers import (
    EncodedMessage,
    MessageCodec,
    UnknownMessageError,
    since,
)

_SEED = 8
_VM_COUNT = 8
_MESSAGES_PER_PAIR = 40
_FEATURE_SHARE = 0.05


@attrs.frozen(kw_only=True)
class OldOrder:
    """The order message of the old release."""

    name: str


@attrs.frozen(kw_only=True)
class NewOrder:
    """The order message of the new release; receivers must obey its fence."""

    name: str
    fence: int = since(2, default=0)


@enum.unique
class VersionPolicy(enum.Enum):
    """Policy for the version of messages that an older release may read."""

    LEAST_VERSION = enum.auto()
    TOLERANT = enum.auto()  # always version 1; unknown fields are ignored
    NEWEST = enum.auto()  # always the newest version


@attrs.define
class Outcomes:
    """Message counts of a whole rolling upgrade."""

    refused: int = 0
    misread: int = 0
    handled: int = 0


def old_release() -> MessageCodec:
    """Returns the codec of the old release."""
    codec = MessageCodec()
    codec.register(OldOrder, kind='order', version=1)
    return codec


def new_release() -> MessageCodec:
    """Returns the codec of the new release."""
    codec = MessageCodec()
    codec.register(NewOrder, kind='order', version=2)
    return codec


def run_rolling_upgrade(policy: VersionPolicy) -> Outcomes:
    """Returns the message counts of one rolling upgrade."""
    outcomes = Outcomes()
    rng = random.Random(_SEED)
    for replaced_count in range(_VM_COUNT + 1):
        for sender in range(_VM_COUNT):
            for receiver in range(_VM_COUNT):
                if sender != receiver:
                    _send_mix(
                        outcomes,
                        rng,
                        policy,
                        new_sender=sender < replaced_count,
                        new_receiver=receiver < replaced_count,
                    )
    return outcomes


def version_rows() -> list[BenchmarkRow]:
    """Returns the misread and needlessly refused messages by policy."""
    least = run_rolling_upgrade(VersionPolicy.LEAST_VERSION)
    tolerant = run_rolling_upgrade(VersionPolicy.TOLERANT)
    newest = run_rolling_upgrade(VersionPolicy.NEWEST)
    necessary_refusals = tolerant.misread
    return [
        BenchmarkRow(
            name='peers.rolling_upgrade_misread_messages',
            unit='messages',
            ours=least.misread,
            naive=tolerant.misread,
            naive_name='version 1 always, unknown fields ignored',
            bound=0,
            deterministic=True,
            seed=_SEED,
        ),
        BenchmarkRow(
            name='peers.rolling_upgrade_needless_refusals',
            unit='messages',
            ours=least.refused - necessary_refusals,
            naive=newest.refused - necessary_refusals,
            naive_name='newest version always',
            bound=0,
            deterministic=True,
            seed=_SEED,
        ),
    ]


def _send_mix(
    outcomes: Outcomes,
    rng: random.Random,
    policy: VersionPolicy,
    *,
    new_sender: bool,
    new_receiver: bool,
) -> None:
    receiver = new_release() if new_receiver else old_release()
    for _ in range(_MESSAGES_PER_PAIR):
        fence = 7 if rng.random() < _FEATURE_SHARE else 0
        encoded = _encode(policy, fence if new_sender else 0, new_sender)
        try:
            order = receiver.decode(encoded)
        except UnknownMessageError:
            outcomes.refused += 1
            continue
        if new_sender and getattr(order, 'fence', 0) != fence:
            outcomes.misread += 1
        else:
            outcomes.handled += 1


def _encode(
    policy: VersionPolicy, fence: int, new_sender: bool
) -> EncodedMessage:
    if not new_sender:
        return old_release().encode(OldOrder(name='sack'))
    encoded = new_release().encode(NewOrder(name='sack', fence=fence))
    if policy is VersionPolicy.LEAST_VERSION:
        return encoded
    version = 1 if policy is VersionPolicy.TOLERANT else 2
    return EncodedMessage(kind=encoded.kind, version=version, body=encoded.body)
