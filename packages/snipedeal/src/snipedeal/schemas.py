"""Specifications of configuration objects, by kind and schema version.

Parsers are registered in :data:`PARSERS`. All schema versions of a kind are parsed
into the same class, so that old and new records are valid at the same time.
"""

import fnmatch
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.checking import CheckError
from snipedeal.checking import FieldError
from snipedeal.checking import in_range
from snipedeal.checking import one_of
from snipedeal.checking import starting_with
from snipedeal.checking import structure
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import UnknownSchemaError

ANY = "*"
KEY_HASH_PREFIX = "sha256:"

#: Parsers by kind and schema version.
PARSERS: dict[tuple[str, int], t.Callable[[t.Any], t.Any]] = {}


def register_schema(kind: str, version: int) -> t.Callable:
    """Register the parser of a kind's schema version."""

    def decorate(parser: t.Callable) -> t.Callable:
        PARSERS[kind, version] = parser
        return parser

    return decorate


def known_versions(kind: str) -> list[int]:
    """Return the schema versions of a kind that this process knows."""
    return sorted(version for known, version in PARSERS if known == kind)


def parse_spec(kind: str, version: int, spec: t.Any) -> t.Any:
    """Return the object that a specification describes.

    :raises UnknownSchemaError: no parser for this kind and version.
    :raises RecordError: the specification is invalid.
    """
    parser = PARSERS.get((kind, version))
    if parser is None:
        versions = known_versions(kind)
        allowed = f"known are {versions}" if versions else "the kind is unknown"
        raise UnknownSchemaError(
            f"schema version {version} of kind {kind!r}: {allowed}",
            field="schema_version",
        )
    try:
        return parser(spec)
    except CheckError as error:
        invalid_field = error.invalid_fields[0]
        field = f"spec.{invalid_field.field}" if invalid_field.field else "spec"
        raise RecordError(invalid_field.message, field=field) from error


def _check_keys(instance: t.Any, attribute: attrs.Attribute, value: list) -> None:
    for key in value:
        digest = key.removeprefix(KEY_HASH_PREFIX)
        is_hash = key.startswith(KEY_HASH_PREFIX) and len(digest) == 64
        if not is_hash or set(digest) - set("0123456789abcdef"):
            raise FieldError(
                attribute, "each key is given as sha256: and 64 hexadecimal digits"
            )


def _check_shares(instance: t.Any, attribute: attrs.Attribute, value: dict) -> None:
    for service, share in value.items():
        if not 0.001 <= share <= 1_000_000:
            raise FieldError(
                attribute, f"share {share} of {service} is not in 0.001..1000000"
            )


@attrs.frozen
class Customer:
    """A customer, its shares and the hashes of its API keys.

    :param shares: fair-share weight by service; ``*`` is the default.
    :param keys: ``sha256:`` and the hexadecimal hash of each bearer key.
    :param services: services that it may use; ``*`` for all.
    :param max_queued: limit of its queued requests at one router.
    """

    shares: dict[str, float] = attrs.field(validator=_check_shares)
    keys: list[str] = attrs.field(validator=_check_keys)
    services: list[str] = attrs.Factory(lambda: [ANY])
    max_queued: int = attrs.field(
        default=defaults.DEFAULT_MAX_QUEUED_PER_CUSTOMER,
        validator=in_range(1, 100_000),
    )

    def share(self, service: str) -> float:
        """Return the customer's share of a service, 1 if none is set."""
        return self.shares.get(service, self.shares.get(ANY, 1.0))

    def may_use(self, service: str) -> bool:
        """Whether the customer may use a service."""
        return ANY in self.services or service in self.services


@attrs.frozen
class _CustomerV1:
    """Schema version 1 of a customer: one share for all services."""

    share: float = attrs.field(validator=in_range(0.001, 1_000_000))
    keys: list[str] = attrs.field(validator=_check_keys)
    services: list[str] = attrs.Factory(lambda: [ANY])


@register_schema("customer", 1)
def parse_customer_v1(spec: t.Any) -> Customer:
    """Return the customer of a specification in schema version 1."""
    old = structure(spec, _CustomerV1)
    return Customer({ANY: old.share}, old.keys, old.services)


@register_schema("customer", 2)
def parse_customer_v2(spec: t.Any) -> Customer:
    """Return the customer of a specification in schema version 2."""
    return structure(spec, Customer)


@attrs.frozen
class Service:
    """A service that the fleet offers.

    :param dialect: ``openai`` for model engines, ``plain`` for other HTTP services.
    :param prefix: path prefix of a plain service.
    :param idempotent: ``always``, ``never`` or ``by_method``; a request's header
        may only override it towards non-idempotent.
    :param deadline_ms: time within which the response must be complete.
    :param max_body_bytes: limit of a request's body.
    :param prompt_weight: cost of a prompt token in service units; an output token
        costs one.
    """

    dialect: str = attrs.field(validator=one_of("openai", "plain"))
    prefix: str = attrs.field(default="/", validator=starting_with("/"))
    idempotent: str = attrs.field(
        default="by_method", validator=one_of("always", "never", "by_method")
    )
    deadline_ms: int = attrs.field(
        default=defaults.DEFAULT_DEADLINE_MS, validator=in_range(100, 3_600_000)
    )
    max_body_bytes: int = attrs.field(
        default=defaults.DEFAULT_MAX_BODY_BYTES, validator=in_range(1, 67_108_864)
    )
    prompt_weight: float = attrs.field(
        default=defaults.DEFAULT_PROMPT_WEIGHT, validator=in_range(0, 10)
    )


@register_schema("service", 1)
def parse_service_v1(spec: t.Any) -> Service:
    """Return the service of a specification in schema version 1."""
    return structure(spec, Service)


@attrs.frozen
class DesiredModel:
    """The model, adapter or role that targets of a pool should have."""

    action: str = attrs.field(validator=one_of("load_model", "load_adapter", "role"))
    name: str = ""
    version: str = ""


@attrs.frozen
class Pool:
    """Targets of a service that share a desired state.

    :param service: the service that they run.
    :param targets: shell-style patterns of target names.
    :param checks_fencing: whether the targets check fencing tokens and refuse
        superseded orders.
    :param desired: their desired state, ``None`` to leave them unchanged.
    """

    service: str
    targets: list[str] = attrs.Factory(lambda: [ANY])
    checks_fencing: bool = False
    desired: DesiredModel | None = None

    def has_target(self, name: str) -> bool:
        """Whether a target belongs to the pool."""
        return any(fnmatch.fnmatchcase(name, pattern) for pattern in self.targets)


@register_schema("pool", 1)
def parse_pool_v1(spec: t.Any) -> Pool:
    """Return the pool of a specification in schema version 1."""
    return structure(spec, Pool)
