"""Steps for the codec: arbitrary bytes and two concurrent releases."""

import anyio
import attrs
import msgspec
from behave import then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks.fleet import free_port
from benchmarks.peers_versions import (
    NewOrder,
    OldOrder,
    VersionPolicy,
    new_release,
    old_release,
    run_rolling_upgrade,
)
from teaseldale.peers import EncodedMessage, UnknownMessageError
from teaseldale.peers._codec import MalformedMessageError
from teaseldale.peers._frames import (
    FRAME_FORMAT,
    Frame,
    FrameItem,
    decode_frame,
    encode_frame,
    identity_tag,
)
from teaseldale.peers.tests.network import MemberList, make_node, running

_SETTINGS = settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
_EXTRA = b'later release'


def _frame_of(sender, target, kind, version, body):
    return encode_frame(
        Frame(
            format=FRAME_FORMAT,
            sender_tag=identity_tag(sender),
            target_tag=identity_tag(target),
            sender=sender,
            calls=(
                FrameItem(
                    number=2**40,
                    message=EncodedMessage(
                        kind=kind, version=version, body=body
                    ),
                ),
            ),
            replies=(),
        ),
    )


@when('arbitrary bytes arrive as frames, calls and bodies')
def send_anything(context):
    members = MemberList()
    caller = make_node(members, 'a', port=free_port())
    target = make_node(members, 'b', port=free_port())
    kinds = st.sampled_from(('ask', 'heartbeat', 'handler_failed', 'other'))
    values = st.recursive(
        st.none() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    )
    bodies = st.binary(max_size=64) | values.map(msgspec.msgpack.encode)
    arrivals = []

    @_SETTINGS
    @hypothesis_given(
        st.binary(max_size=200) | values.map(msgspec.msgpack.encode)
    )
    def draw_frames(frame):
        arrivals.append(frame)

    @_SETTINGS
    @hypothesis_given(kinds, st.integers(-1, 3), bodies)
    def draw_calls(kind, version, body):
        identities = caller.network.identity, target.network.identity
        arrivals.append(_frame_of(*identities, kind, version, body))

    draw_frames()
    draw_calls()
    context.frame_count = len(arrivals)

    async def main():
        async with running(caller, target) as tasks:
            for frame in arrivals:
                target.network._receiver.accept(frame, tasks)
            context.answer = await caller.ask(target, timeout_ms=60_000)

    anyio.run(main)
    context.metrics = target.metrics


@then('each is counted or answered and a valid call is still answered')
def all_counted(context):
    assert context.answer.text == 'hello'
    refused = context.metrics.counter_value('peer_frame_refused', 'malformed')
    failed = sum(
        context.metrics.counter_value('peer_call_failed', reason)
        for reason in ('unknown_message', 'malformed_message', 'defect')
    )
    assert refused >= 200, refused
    assert failed >= 150, failed
    assert context.frame_count >= 500, context.frame_count


def _exchange(context, decode):
    context.misread = []
    context.refused = []
    context.read = []
    old, new = old_release(), new_release()

    @_SETTINGS
    @hypothesis_given(st.text(), st.integers(0, 3))
    def draw(name, fence):
        to_new = new.decode(old.encode(OldOrder(name=name)))
        assert to_new == NewOrder(name=name, fence=0)
        sent = NewOrder(name=name, fence=fence)
        try:
            received = decode(old, new.encode(sent))
        except UnknownMessageError:
            context.refused.append(sent)
            return
        is_unchanged = received.name == name and fence == 0
        (context.read if is_unchanged else context.misread).append(sent)

    draw()


@when('an old and a new release exchange orders in both directions')
def exchange(context):
    _exchange(context, lambda codec, encoded: codec.decode(encoded))


@when('orders are exchanged with unknown fields ignored in every version')
def exchange_tolerantly(context):
    def decode(codec, encoded):
        return codec.decode(
            EncodedMessage(kind=encoded.kind, version=1, body=encoded.body)
        )

    _exchange(context, decode)


@then('each order is decoded unchanged or rejected because of its fence')
def read_or_refused(context):
    assert not context.misread, context.misread[:3]
    assert context.read
    assert context.refused
    assert all(order.fence for order in context.refused)
    assert run_rolling_upgrade(VersionPolicy.LEAST_VERSION).misread == 0


@then('some order is decoded wrongly')
def some_misread(context):
    assert context.misread
    assert run_rolling_upgrade(VersionPolicy.TOLERANT).misread > 0


@attrs.frozen(kw_only=True)
class _LaterOrder:
    name: str
    colour: str  # optional: receivers may ignore it


@when('a message and a frame with fields of a later release arrive')
def later_fields(context):
    body = msgspec.msgpack.encode(_LaterOrder(name='sack', colour='jute'))
    context.order = old_release().decode(
        EncodedMessage(kind='order', version=1, body=body)
    )
    fields = (FRAME_FORMAT, 1, 2, None, (), (), _EXTRA)
    context.frame = decode_frame(msgspec.msgpack.encode(fields))
    try:
        decode_frame(msgspec.msgpack.encode((FRAME_FORMAT + 1, *fields[1:])))
    except MalformedMessageError as error:
        context.error = error


@then('they are decoded without those fields')
def read_without(context):
    assert context.order == OldOrder(name='sack')
    assert context.frame.sender_tag == 1
    assert 'another release' in str(context.error)
