"""Steps for the ports of a VM under test, with a scripted kernel."""

import re
import shutil
from unittest import mock

from behave import given, then, when

from teaseldale.platform.tests import node_process

_FIRST_PORT = 40_000
_LAST_PORT = 40_100


class _Server:
    def __init__(self, *, kernel, address):
        self._kernel = kernel
        self._address = address

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self._kernel.held.remove(self._address[1])

    def getsockname(self):
        return self._address


class _Kernel:
    """Holds the port of a server until it is closed."""

    def __init__(self, *, used=()):
        self.used = frozenset(used)
        self.held = set()

    def create_server(self, address):
        ip, port = address
        taken = self.used | self.held
        if not port:
            ports = range(_FIRST_PORT, _LAST_PORT)
            port = min(each for each in ports if each not in taken)
        if port in taken:
            raise OSError('address in use')
        self.held.add(port)
        return _Server(kernel=self, address=(ip, port))


@given('a kernel that offers the lowest free port')
def plain_kernel(context):
    context.kernel = _Kernel()


@given(
    'a kernel that offers the lowest free port, '
    'and that has the sixth one in use',
)
def busy_kernel(context):
    context.kernel = _Kernel(used=(_FIRST_PORT + 5,))


@when('the ports of a VM that runs as a process are drawn')
def draw(context):
    with mock.patch.object(
        node_process.socket,
        'create_server',
        context.kernel.create_server,
    ):
        node = node_process.NodeProcess(memory_mb=150, descriptor_count=600)
        settings = node._settings_text()
    context.cleanup.callback(shutil.rmtree, node._folder)
    addresses = (node.callers, node.readiness, node._store, node._runner)
    found = re.search(r'PortRange = \[(\d+), (\d+)\]', settings)
    context.ports = [port for _, port in addresses]
    context.ports.extend(map(int, found.groups()))


@then('its addresses and its range have six different ports')
def six_ports(context):
    assert len(set(context.ports)) == 6, context.ports
    assert context.ports[-1] == context.ports[-2] + 1, context.ports
    assert not context.kernel.held, context.kernel.held


@then('none of them is in use')
def none_in_use(context):
    assert not context.kernel.used.intersection(context.ports), context.ports
