"""Encode and decode frames and the messages in them.

A frame is a MessagePack array. Each message in it is a pair of a message code and
an array of the class's field values in order. For compatibility between versions,
new fields are only appended, with a default: a decoder ignores extra values, fills
in missing ones from the defaults, skips messages with an unknown code and rejects
frames whose wire version it does not support.
"""

import typing as t

import attrs
import msgspec

from snipedeal import defaults
from snipedeal.decoding import DECODING_ERRORS
from snipedeal.exceptions import MessageError
from snipedeal.messages import FIELD_NAMES
from snipedeal.messages import MESSAGE_TYPES

_encoder = msgspec.msgpack.Encoder()


@attrs.frozen
class Frame:
    """One transmission on a link.

    :param sender: name of the sending process.
    :param recipient: name of the process that the frame is addressed to.
    :param address: address at which the sender listens; empty in first transmissions
        once the recipient's session number is known.
    :param session: the sender's session number.
    :param peer_session: the recipient's session number as known to the sender,
        or 0.
    :param sequence: sequence number, or 0 if the frame is only an acknowledgement.
    :param ack: cumulative acknowledgement: the highest sequence number received
        without a gap.
    :param wall_ms: wall part of the hybrid logical clock, in milliseconds.
    :param counter: counter part of the hybrid logical clock.
    :param body: messages, each a pair of code and encoded payload.
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
    """Return the code and encoded payload of a message.

    :param message: an instance of a registered class.
    """
    names = FIELD_NAMES[message.code]
    values = [getattr(message, name) for name in names]
    return message.code, msgspec.Raw(_encoder.encode(values))


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame."""
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
    """Decode a frame.

    :param data: the bytes of one frame.
    :raises MessageError: the bytes are not a valid frame, or its wire version is
        not supported.
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
    except DECODING_ERRORS as error:
        raise MessageError(f"invalid frame: {error}", step="decode") from error
    return Frame(*fields[1:])


def _read_version(data: bytes) -> int:
    """Return the wire version without decoding the rest of the frame."""
    try:
        items = _version_decoder.decode(data)
        return msgspec.msgpack.decode(items[0], type=int)
    except (*DECODING_ERRORS, IndexError) as error:
        raise MessageError(f"invalid frame header: {error}", step="decode") from error


def decode_message(code: str, payload: msgspec.Raw) -> t.Any | None:
    """Decode a message.

    :param code: message code.
    :param payload: MessagePack array of the field values.
    :return: the message, or ``None`` if the code is unknown because the sender
        runs a newer version.
    :raises MessageError: a required field is missing or has the wrong type.
    """
    cls = MESSAGE_TYPES.get(code)
    if cls is None:
        return None
    try:
        values = _values_decoder.decode(payload)
        fields = dict(zip(FIELD_NAMES[code], values, strict=False))
        return msgspec.convert(fields, cls)
    except DECODING_ERRORS as error:
        raise MessageError(f"invalid message {code}: {error}", step="decode") from error
