"""Prompts of very many parts: groups, identifiers and the estimates of caches."""

from hypothesis import given
from hypothesis import strategies as st

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.crashes import part_traits
from snipedeal_direct.load import PrefixBudget
from snipedeal_direct.load import PrefixCache
from snipedeal_direct.model import Call
from snipedeal_direct.model import RetryPolicy
from snipedeal_direct.model import Route
from snipedeal_direct.model import parse_prompt
from snipedeal_direct.prompts import group_parts

ROUTE = Route("r", "h", "/", (("s", 1.0),), 1, 1, 1, RetryPolicy.IDEMPOTENT)


def call_of(listing):
    prompt = parse_prompt(listing, "100,1", "")
    return Call("c", "POST", b"/", [], b"", 0, 0, 0, ROUTE, "s", prompt=prompt)


def listing_of(count, start=0):
    return ",".join(
        f"{number:x}:{number % 7}" for number in range(start, start + count)
    )


@given(st.integers(0, 5_000))
def test_groups_are_few_and_have_all_tokens(count):
    entries = [(f"{number:x}", number) for number in range(count)]
    groups = group_parts(entries)
    assert len(groups) <= defaults.PROMPT_PARTS
    assert sum(tokens for _, tokens in groups) == sum(range(count))
    assert groups[-1:] == entries[-1:]
    if count <= defaults.PROMPT_PARTS:
        assert groups == entries


def test_a_conversation_keeps_its_leading_groups_as_it_grows():
    """Guards against groups by which placement loses sight of a cache."""
    for count in range(300, 500, 7):
        before, after = (
            parse_prompt(listing_of(length), "100,1", "").parts
            for length in (count, count + 3)
        )
        same = sum(a == b for a, b in zip(before[:-1], after[:-1], strict=False))
        # The last group grows.
        assert same >= len(before) - 2


def test_each_part_of_a_long_prompt_is_a_trait():
    """Guards against crashing parts that are hidden in a group."""
    call = call_of(listing_of(4_000))
    assert len(call.prompt.parts) <= defaults.PROMPT_PARTS
    expected = {stable_hash("part", f"{number:x}") for number in range(3_999)}
    assert part_traits(call) == expected


def test_long_identifiers_are_not_kept():
    prompt = parse_prompt(f"{'f' * 9_000}:1,{'f' * 9_001}:2,a:3", "6,1", "")
    assert max(len(part.id) for part in prompt.parts) <= defaults.PART_ID_CHARS
    assert prompt.parts[0].id != prompt.parts[1].id
    assert [part.tokens for part in prompt.parts] == [1, 2, 3]


@given(st.lists(st.integers(1, 400), min_size=1, max_size=30))
def test_estimates_of_caches_keep_to_their_budget(sizes):
    """Guards against parts of few tokens, which no count of tokens bounds."""
    budget = PrefixBudget(1_000)
    caches = [PrefixCache(budget) for _ in range(4)]
    for number, size in enumerate(sizes):
        cache = caches[number % 4]
        cache.add_all((f"{number}-{part}", 0) for part in range(size))
        assert budget.used == sum(len(other._parts) for other in caches)
        assert budget.used <= budget.limit
    for cache in caches:
        cache.close()
    assert budget.used == 0


def test_a_flood_leaves_the_estimates_of_other_targets():
    budget = PrefixBudget(1_000)
    quiet, flooded = PrefixCache(budget), PrefixCache(budget)
    quiet.add_all((f"q{part}", 9) for part in range(400))
    flooded.add_all((f"f{part}", 0) for part in range(10_000))
    assert all(quiet.has(f"q{part}") for part in range(400))
    assert budget.used <= budget.limit
