"""Runs several VMs with real loopback sockets in one event loop."""

import contextlib
import functools

import anyio
import attrs
import pynng

from benchmarks.fleet import free_port
from teaseldale.clock import SystemClock
from teaseldale.metrics import Metrics
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.tables import BaseMembershipList, MemberState, VmMember

WAIT_TIMEOUT_SECONDS = 60


@attrs.frozen(kw_only=True)
class Ask:
    text: str


@attrs.frozen(kw_only=True)
class Answer:
    text: str


class MemberList(BaseMembershipList):
    """Membership list in memory."""

    def __init__(self):
        self.listed = {}

    async def announce(self, member):
        self.listed[member.name] = member

    async def members(self):
        return tuple(self.listed.values())


def list_absent_vm(members, name, zone):
    """Adds a VM that does not run to the membership list."""
    members.listed[name] = VmMember(
        name=name,
        incarnation='none',
        address=f'127.0.0.1:{free_port()}',
        availability_zone=zone,
        state=MemberState.LIVE,
    )


@attrs.frozen(kw_only=True)
class Node:
    """A VM under test: its peer network and metrics."""

    network: PynngPeerNetwork
    metrics: Metrics

    async def ask(self, other, text='hello', timeout_ms=20_000):
        return await self.network.request(
            other.network.identity,
            Ask(text=text),
            timeout_ms=timeout_ms,
        )

    def reaches(self, other):
        key = other.network.identity.key
        return key in {peer.key for peer in self.network.reachable_peers()}


def make_node(members, name, *, port, relay_port=None, incarnation='first'):
    """Creates a VM; its peers connect to ``relay_port`` if that is given."""
    metrics = Metrics()
    network = PynngPeerNetwork(
        identity=VmIdentity(
            name=name,
            incarnation=incarnation,
            availability_zone='mill',
            address=f'127.0.0.1:{relay_port or port}',
        ),
        membership=members,
        clock=SystemClock(),
        metrics=metrics,
    )
    network._receiver.listen = functools.partial(_listen, port)
    return Node(network=network, metrics=metrics)


def _listen(port):
    return pynng.Pull0(listen=f'tcp://127.0.0.1:{port}')


async def echo(_sender, message):
    return Answer(text=message.text)


@contextlib.asynccontextmanager
async def running(*nodes, handler=echo):
    """Runs VMs for the duration of the context."""
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            node.network.handle(
                Ask, kind='ask', reply_type=Answer, handler=handler
            )
            await node.network.start(tasks)
        try:
            yield tasks
        finally:
            for node in nodes:
                await node.network.stop()
            tasks.cancel_scope.cancel()


async def wait_until(condition):
    """Polls a condition; the timeout is long enough for a busy machine."""
    with anyio.fail_after(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.02)
