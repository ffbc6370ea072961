"""Small helpers that belong to no stage."""

import secrets
import typing as t

import xxhash

_T = t.TypeVar("_T")


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is equal in every process.

    :param parts: strings; their borders count.
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def rank_by_rendezvous(key: str, names: t.Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing (Thaler and Ravishankar 1998).

    :param key: the thing to be placed.
    :param names: candidates.
    :return: all candidates, the owner first.
    """
    return sorted(names, key=lambda name: stable_hash(key, name), reverse=True)


def rendezvous_owner(key: str, names: t.Iterable[str]) -> str | None:
    """Return the first name of :func:`rank_by_rendezvous`, or ``None``."""
    return max(names, key=lambda name: stable_hash(key, name), default=None)


def new_id(prefix: str) -> str:
    """Return a random identifier of 64 bits behind a prefix.

    :param prefix: short kind of the thing named.
    """
    return f"{prefix}-{secrets.token_hex(8)}"


def first(items: t.Iterable[_T]) -> _T | None:
    """Return the first item, or ``None`` of nothing."""
    return next(iter(items), None)
