import msgspec
import pytest

from snipedeal import defaults
from snipedeal.codec import Frame
from snipedeal.codec import decode_frame
from snipedeal.codec import decode_message
from snipedeal.codec import encode_frame
from snipedeal.codec import encode_message
from snipedeal.exceptions import MessageError
from snipedeal.messages import MESSAGE_TYPES
from snipedeal.messages import CustomerDelta
from snipedeal.messages import Offer
from snipedeal.messages import ServiceDelta


def raw(values):
    return msgspec.Raw(msgspec.msgpack.encode(values))


class TestMessages:
    def test_round_trip_with_nested_data(self):
        message = ServiceDelta("s", {"c": CustomerDelta(15, 2)}, -1.0)
        code, payload = encode_message(message)
        assert decode_message(code, payload) == message

    def test_extra_values_of_a_newer_version_are_ignored(self):
        message = decode_message("offer", raw(["s", "c", 1.0, 2, "new", {"x": 1}]))
        assert message == Offer("s", "c", 1.0, 2)

    def test_missing_values_take_defaults_or_are_rejected(self):
        done = decode_message("done", raw(["a", "ok"]))
        assert done.total == 0
        with pytest.raises(MessageError):
            decode_message("offer", raw(["s"]))

    def test_wrong_types_are_rejected(self):
        with pytest.raises(MessageError):
            decode_message("offer", raw(["s", "c", "heavy", 2]))
        with pytest.raises(MessageError):
            decode_message("offer", raw({"service": "s"}))

    def test_unknown_code_is_skipped(self):
        assert decode_message("novel", raw([1])) is None

    def test_codes_are_unique(self):
        assert len(set(MESSAGE_TYPES.values())) == len(MESSAGE_TYPES)


class TestFrames:
    def test_round_trip(self):
        frame = Frame("a", "b", "tcp://x", 1, 2, 3, 4, 5, 6, [("beat", raw([]))])
        again = decode_frame(encode_frame(frame))
        assert again.sender == "a"
        assert again.counter == 6
        assert bytes(again.body[0][1]) == bytes(raw([]))

    def test_unsupported_wire_version_is_rejected_with_its_number(self):
        data = msgspec.msgpack.encode([defaults.WIRE_VERSION + 1, "whatever"])
        with pytest.raises(MessageError, match="wire version 2"):
            decode_frame(data)

    @pytest.mark.parametrize("data", [b"", b"\xff", b"\x90", b"\x91\xa1x", b"\x92\x01"])
    def test_undecodable_frame_is_rejected(self, data):
        with pytest.raises(MessageError):
            decode_frame(data)
