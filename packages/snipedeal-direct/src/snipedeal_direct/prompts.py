"""Read the parts of a prompt, and bound what is kept of them.

A header of 16 KB lists up to 4,000 parts. Placement compares prompts with the caches of
all targets and tells peers of their parts, which takes time and memory for each.
"""

import typing as t

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults

#: A part's identifier and its size, tokens.
Entry = tuple[str, int]


def list_parts(listing: str) -> t.Iterator[tuple[str, str]]:
    """Yield the identifier and the size of each part that a header lists.

    :param listing: ``ID:TOKENS`` entries, comma-separated. Long identifiers are
        replaced by their hashes.
    """
    for entry in listing.split(","):
        if entry:
            part_id, _, tokens = entry.strip().partition(":")
            if len(part_id) > defaults.PART_ID_CHARS:
                part_id = _hash(part_id)
            yield part_id, tokens


def group_parts(entries: t.Sequence[Entry]) -> t.Sequence[Entry]:
    """Return at most ``PROMPT_PARTS`` parts of a prompt: groups if it has more.

    A group has a power of two of neighbours and starts at a multiple of that, so that
    prompts with the same leading parts and about the same length have the same leading
    groups. The last part belongs to one request only and stays by itself.
    """
    if len(entries) <= defaults.PROMPT_PARTS:
        return entries
    shared = entries[:-1]
    size = 1
    while len(shared) > size * (defaults.PROMPT_PARTS - 1):
        size *= 2
    groups = [shared[start : start + size] for start in range(0, len(shared), size)]
    return [*map(_join, groups), entries[-1]]


def _join(group: t.Sequence[Entry]) -> Entry:
    ids = (part_id for part_id, _ in group)
    return _hash(*ids), sum(tokens for _, tokens in group)


def _hash(*texts: str) -> str:
    return f"{stable_hash('parts', *texts):016x}"
