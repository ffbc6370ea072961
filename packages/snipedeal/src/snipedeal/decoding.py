"""Decode what other processes write, with one declared error and bounded values.

Lists and logs that several processes write may hold anything: values nested without
end, numbers that no type holds, text that is none. Every decoder of such data uses this
module, so that an odd value costs itself and not the task that reads it.
"""

import ipaddress
import json
import math
import re
import typing as t

from snipedeal.exceptions import UnreadableError

#: Deepest nesting of a JSON value; far above that of any record of the project.
DEPTH_LIMIT = 64
#: Errors that mean that data of another process can't be decoded. RecursionError is
#: raised by decoders for values that are nested too deeply.
DECODING_ERRORS = (ValueError, TypeError, KeyError, OverflowError, RecursionError)
#: Ends of the range of integers that all encodings of the project can hold.
_INTEGER_MIN, _INTEGER_MAX = -(2**63), 2**64 - 1
_NAME = re.compile(r"[!-~]{1,255}")
_HOST = re.compile(r"[A-Za-z0-9._-]{1,253}")
_PORT = re.compile(r"[0-9]{1,5}")
_PORT_MAX = 65_535
#: A string or a structural character of JSON.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[][{},]', re.DOTALL)

_T = t.TypeVar("_T")


def parse_json(data: bytes | str) -> t.Any:
    """Return the value of a JSON text.

    :raises UnreadableError: the text is not JSON, is nested deeper than
        ``DEPTH_LIMIT``, or has a number or a string that can't be passed on.
    """
    try:
        value = json.loads(data, parse_constant=_reject_constant)
        _check(value)
    except DECODING_ERRORS as error:
        raise UnreadableError(f"not JSON: {_describe(error)}", "decode") from error
    return value


def decode(decoder: t.Callable[[bytes], _T], data: bytes) -> _T:
    """Return what a decoder of a fixed type makes of the data.

    :raises UnreadableError: the data is not a value of the type.
    """
    try:
        return decoder(data)
    except DECODING_ERRORS as error:
        raise UnreadableError(_describe(error), "decode") from error


def split_array(data: bytes) -> list[bytes]:
    """Return the texts of the elements of a JSON array, which may be no JSON.

    It is not recursive, so that one element that is nested too deeply can be told from
    the others.

    :raises UnreadableError: the data is not an array, or has no end.
    """
    body = data.strip()
    if not body.startswith(b"[") or not body.endswith(b"]"):
        raise UnreadableError("no JSON array", "decode")
    elements = []
    start, depth = 1, 0
    for token in _TOKEN.finditer(body):
        symbol = token.group()
        if symbol in b"[{":
            depth += 1
        elif symbol in b"]}":
            depth -= 1
        if (depth == 1 and symbol == b",") or depth == 0:
            elements.append(body[start : token.start()].strip())
            start = token.end()
            if depth == 0:
                break
    if start != len(body):
        raise UnreadableError("no JSON array", "decode")
    return elements if elements != [b""] else []


def is_name(text: str) -> bool:
    """Whether a text can be an identifier in headers and logs.

    That is 1 to 255 printable ASCII characters without spaces.
    """
    return _NAME.fullmatch(text) is not None


def split_endpoint(text: str, *, is_numeric: bool = False) -> tuple[str, int]:
    """Return host and port of a ``host:port`` text.

    :param is_numeric: accept only IPv4 addresses, so that no name has to be resolved.
    :raises UnreadableError: the host is no name or address, or the port is not in
        1..65535.
    """
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _PORT_MAX:
        raise UnreadableError(f"no port of 1..65535 in {text[:80]!r}", "decode")
    if not _HOST.fullmatch(host):
        raise UnreadableError(f"no host in {text[:80]!r}", "decode")
    if is_numeric:
        try:
            ipaddress.IPv4Address(host)
        except ValueError as error:
            raise UnreadableError(f"{host[:80]!r} is no address", "decode") from error
    return host, int(port)


def _check(value: t.Any) -> None:
    pending = [(value, 1)]
    while pending:
        item, depth = pending.pop()
        if isinstance(item, str):
            # Raises ValueError for lone surrogates.
            item.encode()
        elif isinstance(item, int):
            if not _INTEGER_MIN <= item <= _INTEGER_MAX:
                raise ValueError("integer out of range")
        elif isinstance(item, float):
            if not math.isfinite(item):
                raise ValueError("number out of range")
        elif isinstance(item, dict | list):
            if depth > DEPTH_LIMIT:
                raise ValueError(f"nested deeper than {DEPTH_LIMIT}")
            children = [*item, *item.values()] if isinstance(item, dict) else item
            pending += [(child, depth + 1) for child in children]


def _reject_constant(name: str) -> t.NoReturn:
    raise ValueError(f"{name} is no JSON value")


def _describe(error: Exception) -> str:
    """Return a short description; errors may quote data of any length."""
    text = str(error) if not isinstance(error, KeyError) else f"no field {error}"
    return (text or type(error).__name__)[:200]
