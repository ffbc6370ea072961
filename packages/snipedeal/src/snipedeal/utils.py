"""Provide helpers for hashing, identifiers and iterables."""

import secrets
import typing as t

import xxhash

from snipedeal import defaults

_T = t.TypeVar("_T")


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process.

    :param parts: strings to hash; ``("a", "b")`` and ``("ab",)`` hash differently.
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def rank_by_rendezvous(key: str, names: t.Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing (Thaler and Ravishankar 1998).

    :param key: key to assign.
    :param names: candidates.
    :return: all candidates, the owner first.
    """
    return sorted(names, key=lambda name: stable_hash(key, name), reverse=True)


def rendezvous_owner(key: str, names: t.Iterable[str]) -> str | None:
    """Return the first name of :func:`rank_by_rendezvous`, or ``None``."""
    return max(names, key=lambda name: stable_hash(key, name), default=None)


def new_id(prefix: str) -> str:
    """Return an identifier made of a prefix and 64 random bits.

    :param prefix: short name for the kind of object identified.
    """
    return f"{prefix}-{secrets.token_hex(8)}"


def shorten(text: str) -> str:
    """Return a caller's text for a message, quoted and cut to a bounded length."""
    limit = defaults.QUOTED_CHARS
    return repr(text) if len(text) <= limit else f"{text[:limit]!r}..."


def first(items: t.Iterable[_T]) -> _T | None:
    """Return the first item, or ``None`` if there is none."""
    return next(iter(items), None)
