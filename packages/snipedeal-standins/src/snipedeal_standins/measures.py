"""Measures of fair service, from the event logs of targets, and percentiles."""

import typing as t

import attrs

from snipedeal_standins.history import RunRecord


@attrs.frozen
class Sample:
    """Cumulative service by customer at one point in time.

    :param time_ms: wall-clock time.
    :param units: tokens by customer, summed over all targets of a service.
    """

    time_ms: int
    units: dict[str, int]


def service_samples(
    runs: t.Iterable[RunRecord], step_ms: int, targets: t.Container[str]
) -> list[Sample]:
    """Return cumulative service by customer over time, from targets' events.

    :param runs: events in order of time.
    :param step_ms: shortest time between two samples.
    :param targets: names of the targets to include.
    """
    latest_tokens: dict[str, dict[str, int]] = {}
    samples: list[Sample] = []
    next_ms = 0
    for run in runs:
        if run.event != "served" or run.target not in targets:
            continue
        if run.time_ms >= next_ms and latest_tokens:
            samples.append(Sample(run.time_ms, _sum_by_customer(latest_tokens)))
            next_ms = run.time_ms + step_ms
        latest_tokens[run.target] = run.fields["tokens"]
    return samples


def fairness_gap(
    samples: t.Sequence[Sample],
    shares: t.Mapping[str, float],
    from_ms: int,
    to_ms: int,
) -> float:
    """Return the largest gap in share-weighted service between two customers.

    The gap of a pair is the maximum minus the minimum, over the window, of the
    difference between their service. It therefore covers every interval inside
    the window.

    :param shares: share by customer; all must be backlogged in the window.
    :param from_ms: start of the window, wall-clock time.
    :param to_ms: end of the window, wall-clock time.
    :return: tokens divided by share.
    """
    window = [sample for sample in samples if from_ms <= sample.time_ms <= to_ms]
    gap = 0.0
    names = sorted(shares)
    for position, first in enumerate(names):
        for second in names[position + 1 :]:
            differences = [
                sample.units.get(first, 0) / shares[first]
                - sample.units.get(second, 0) / shares[second]
                for sample in window
            ]
            if differences:
                gap = max(gap, max(differences) - min(differences))
    return gap


def percentile(values: t.Sequence[float], percent: float) -> float:
    """Return a percentile without interpolation; 0 for an empty sequence."""
    if not values:
        return 0.0
    ranked = sorted(values)
    index = min(len(ranked) - 1, int(len(ranked) * percent / 100))
    return ranked[index]


def _sum_by_customer(latest_tokens: dict[str, dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for tokens in latest_tokens.values():
        for customer, count in tokens.items():
            total[customer] = total.get(customer, 0) + count
    return total
