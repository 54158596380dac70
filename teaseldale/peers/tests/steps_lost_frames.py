"""Steps for calls whose first frame is lost, in virtual time."""

import anyio
import attrs
from behave import then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.metrics import Metrics
from teaseldale.peers import MessageCodec, VmIdentity
from teaseldale.peers._caller import Caller
from teaseldale.peers._frames import FrameItem

_PEER = VmIdentity(
    name='port-1',
    incarnation='first',
    availability_zone='port',
    address='127.0.0.1:1',
)
_TAG = 7


@attrs.frozen(kw_only=True)
class Question:
    text: str


class _LossyLink:
    """Drops the first frame of each call; other replies keep arriving."""

    peer = _PEER
    peer_tag = _TAG

    def __init__(self, clock):
        self._clock = clock
        self.caller = None

    @property
    def last_reply_ms(self):
        return self._clock.monotonic_ms()

    def enqueue_call(self, item):
        """Drops the frame."""

    def requeue_call(self, item):
        reply = FrameItem(number=item.number, message=item.message)
        self.caller.resolve(reply, _TAG)

    def cancel_call(self, number):
        """Does nothing: no call is ever queued."""


class _SingleLinkSet:
    def __init__(self, link):
        self._link = link

    def get_or_open(self, peer):
        return self._link

    def find(self, peer):
        return self._link


@when('the first frame of a call is lost on a link that receives other replies')
def lose_first_frame(context):
    context.metrics = Metrics()

    async def main():
        clock = VirtualClock()
        codec = MessageCodec()
        codec.register(Question, kind='question')
        link = _LossyLink(clock)
        link.caller = Caller(
            codec=codec,
            links=_SingleLinkSet(link),
            clock=clock,
            metrics=context.metrics,
            on_suspect=lambda suspected: None,
        )
        with anyio.fail_after(1):
            return await link.caller.call(_PEER, Question(text='there'), 900)

    context.answer = run_in_virtual_time(main)


@then('the call is answered after one retry')
def answered(context):
    assert context.answer == Question(text='there'), context.answer
    assert context.metrics.counter_value('peer_call_repeated') == 1
