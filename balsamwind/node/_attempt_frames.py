"""Messages with which one node acts for another that lacks a path.

One connection carries one attempt at a time, so that a late answer can not
reach another request.

The nodes may be of different builds. An unknown message in an answer may be a
part of it, so it ends the exchange like the loss of the connection. An unknown
message of the asking node is ignored: it gets no reply, and that node gives up
after its timeout. A new kind of message is therefore only sent in reply to a
new kind of request, and a new kind of request only to nodes that are known to
understand it.
"""

from balsamwind.node import _frame_codec
from balsamwind import relay

PATH = '/attempts'
"""Path of the websockets that carry attempts."""

CODEC = _frame_codec.FrameCodec(
    {
        1: relay.OutgoingAttempt,
        2: relay.AttemptAccepted,
        3: relay.AnswerHead,
        4: relay.AnswerData,
        5: relay.AnswerEnd,
        6: relay.AttemptFailed,
        7: relay.ReachQuery,
        8: relay.ReachReply,
    }
)
"""Codec of these messages."""
