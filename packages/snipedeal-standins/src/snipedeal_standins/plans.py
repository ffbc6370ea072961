"""Plans of small fleets, among them scaled-down copies of the users' deployments."""

import hashlib
import typing as t

import attrs

#: Suffix that turns a customer name into its bearer key in tests, demo and bench.
BEARER_KEY_SUFFIX = "-key"


@attrs.frozen
class TargetPlan:
    """A target VM.

    :param kind: ``engine`` for a simulated model server, ``plain`` for plain HTTP.
    :param options: command-line options of the simulated target.
    """

    name: str
    service: str
    zone: str
    kind: str = "engine"
    options: dict[str, t.Any] = attrs.Factory(dict)


@attrs.frozen
class RouterPlan:
    """A router VM."""

    name: str
    zone: str


@attrs.frozen
class FleetPlan:
    """A fleet and its configuration.

    :param records: configuration records to publish.
    :param router_settings: settings added to the file of each router.
    :param agent_settings: settings added to the file of each agent.
    :param node_settings: settings added to ``node`` of each router and agent.
    :param platform_settings: settings added to ``node.platform`` of each router and
        agent.
    """

    region: str
    routers: list[RouterPlan]
    targets: list[TargetPlan]
    records: list[dict[str, t.Any]]
    router_settings: dict[str, t.Any] = attrs.Factory(dict)
    agent_settings: dict[str, t.Any] = attrs.Factory(dict)
    node_settings: dict[str, t.Any] = attrs.Factory(dict)
    platform_settings: dict[str, t.Any] = attrs.Factory(dict)


def bearer_key(customer: str) -> str:
    """Return the bearer key of a customer."""
    return customer + BEARER_KEY_SUFFIX


def customer_record(name: str, share: float = 1.0, **spec: t.Any) -> dict[str, t.Any]:
    """Return a customer record of schema version 1."""
    digest = hashlib.sha256(bearer_key(name).encode()).hexdigest()
    return {
        "schema_version": 1,
        "kind": "customer",
        "name": name,
        "spec": {"share": share, "keys": [f"sha256:{digest}"], **spec},
    }


def service_record(name: str, dialect: str, **spec: t.Any) -> dict[str, t.Any]:
    """Return a service record of schema version 1."""
    return {
        "schema_version": 1,
        "kind": "service",
        "name": name,
        "spec": {"dialect": dialect, **spec},
    }


def uwazi(routers: int = 2, engine_options: dict | None = None) -> FleetPlan:
    """Return a scaled-down plan of the Uwazi Council Data Portal Router Fleet."""
    zones = ["dar-a", "dar-b", "dar-c"]
    customers = ["dodoma", "budget-office", "water-desk"]
    customers += [f"ward-{number:02d}" for number in range(1, 14)]
    records = [
        service_record("msemaji", "openai", idempotent="always"),
        service_record("daftari", "plain", prefix="/daftari"),
        *[
            customer_record(name, 4.0 if number < 3 else 1.0)
            for number, name in enumerate(customers)
        ],
    ]
    return _deployment(
        "dar-east", zones, routers, "msemaji", "daftari", records, engine_options
    )


def midlands(routers: int = 2, engine_options: dict | None = None) -> FleetPlan:
    """Return a scaled-down plan of the Association Relay for Time Signal Members."""
    zones = ["rugby-hall", "brum-yard", "trent-shed"]
    customers = ["anthorn", "rugby", "droitwich"]
    customers += [f"station-{number:02d}" for number in range(1, 14)]
    records = [
        service_record("pips-model", "openai", idempotent="always"),
        service_record("sched-desk", "plain", prefix="/sched"),
        *[
            customer_record(name, 3.0 if number < 3 else 1.0)
            for number, name in enumerate(customers)
        ],
    ]
    return _deployment(
        "midlands", zones, routers, "pips-model", "sched-desk", records, engine_options
    )


def shares_by_customer(plan: FleetPlan) -> dict[str, float]:
    """Return the share of each customer in a plan."""
    return {
        record["name"]: record["spec"]["share"]
        for record in plan.records
        if record["kind"] == "customer"
    }


def _deployment(
    region: str,
    zones: list[str],
    routers: int,
    model: str,
    plain: str,
    records: list[dict[str, t.Any]],
    engine_options: dict | None,
) -> FleetPlan:
    prefix = region.split("-")[0]
    return FleetPlan(
        region,
        [
            RouterPlan(f"{prefix}-router-{number}", zones[number % len(zones)])
            for number in range(routers)
        ],
        [
            TargetPlan(
                f"{model}-{number}",
                model,
                zones[number % len(zones)],
                "engine",
                engine_options or {},
            )
            for number in range(5)
        ]
        + [
            TargetPlan(f"{plain}-{number}", plain, zones[number % len(zones)], "plain")
            for number in range(3)
        ],
        records,
    )
