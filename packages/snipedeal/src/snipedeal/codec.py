"""Frames of messages, and their bytes.

A frame is a MessagePack array; each message in it is a pair of a code and an
array of the class's fields in order. Fields are only ever appended, with a
default: a reader leaves out values that it has no field for, fills missing
ones from defaults, skips messages whose code it does not know, and refuses
frames of a wire version outside the range that it supports.
"""

import typing as t

import attrs
import msgspec

from snipedeal import defaults
from snipedeal.exceptions import MessageError
from snipedeal.messages import FIELD_NAMES
from snipedeal.messages import MESSAGE_TYPES

_encoder = msgspec.msgpack.Encoder()


@attrs.frozen
class Frame:
    """One transmission on a link.

    :param sender: name of the sending process.
    :param recipient: name of the process that is meant.
    :param address: address at which the sender listens, empty once the
        recipient has been heard and so knows it.
    :param session: the sender's side of the link session.
    :param peer_session: the recipient's session as the sender knows it, or 0.
    :param sequence: number of the frame, or 0 where it only acknowledges.
    :param ack: highest frame number received without a gap.
    :param wall_ms: hybrid logical clock, wall part.
    :param counter: hybrid logical clock, counter part.
    :param body: messages, each as a pair of code and payload.
    """

    sender: str
    recipient: str
    address: str
    session: int
    peer_session: int
    sequence: int
    ack: int
    wall_ms: int
    counter: int
    body: list[tuple[str, t.Any]]


_frame_decoder = msgspec.msgpack.Decoder(
    tuple[
        int, str, str, str, int, int, int, int, int, int, list[tuple[str, msgspec.Raw]]
    ]
)
_values_decoder = msgspec.msgpack.Decoder(list[t.Any])
_version_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


def encode_message(message: t.Any) -> tuple[str, msgspec.Raw]:
    """Return code and payload of a message.

    :param message: an instance of a registered class.
    """
    names = FIELD_NAMES[message.code]
    values = [getattr(message, name) for name in names]
    return message.code, msgspec.Raw(_encoder.encode(values))


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return _encoder.encode(
        (
            defaults.WIRE_VERSION,
            frame.sender,
            frame.recipient,
            frame.address,
            frame.session,
            frame.peer_session,
            frame.sequence,
            frame.ack,
            frame.wall_ms,
            frame.counter,
            frame.body,
        )
    )


def decode_frame(data: bytes) -> Frame:
    """Return the frame that some bytes hold.

    :param data: bytes of one transmission.
    :raises MessageError: the bytes are no frame, or one of a wire version
        that this process does not support.
    """
    version = _read_version(data)
    oldest = defaults.WIRE_VERSION_OLDEST
    if not oldest <= version <= defaults.WIRE_VERSION:
        raise MessageError(
            f"wire version {version} is not among {oldest}..{defaults.WIRE_VERSION}",
            step="decode",
        )
    try:
        fields = _frame_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"not a frame: {error}", step="decode") from error
    return Frame(*fields[1:])


def _read_version(data: bytes) -> int:
    """Return the wire version, whatever the rest of the frame looks like."""
    try:
        items = _version_decoder.decode(data)
        return msgspec.msgpack.decode(items[0], type=int)
    except (msgspec.MsgspecError, IndexError) as error:
        raise MessageError(f"not a frame: {error}", step="decode") from error


def decode_message(code: str, payload: msgspec.Raw) -> t.Any | None:
    """Return a message, or ``None`` where its code is of a newer version.

    :param code: wire code.
    :param payload: MessagePack array of its fields.
    :raises MessageError: a field is missing or of another type.
    """
    cls = MESSAGE_TYPES.get(code)
    if cls is None:
        return None
    try:
        values = _values_decoder.decode(payload)
        fields = dict(zip(FIELD_NAMES[code], values, strict=False))
        return msgspec.convert(fields, cls)
    except msgspec.MsgspecError as error:
        raise MessageError(f"message {code}: {error}", step="decode") from error
