"""Match requests to routes of the active configuration."""

import random

import attrs

from snipedeal_direct.model import CallerLimits
from snipedeal_direct.model import Route
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Service


@attrs.define(eq=False, repr=False)
class Routing:
    """Route lookup in the newest route table that this process has received.

    :param rng: random generator that picks the service of a traffic split.
    """

    rng: random.Random = attrs.Factory(random.Random)
    _table: RouteTable | None = None
    _by_host: dict[str, list[Route]] = attrs.Factory(dict)

    @property
    def table(self) -> RouteTable | None:
        """The active table, ``None`` before the first."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the active table, -1 before the first."""
        return -1 if self._table is None else self._table.version

    @property
    def limits(self) -> CallerLimits:
        """Limits of the active table, the defaults before the first."""
        return CallerLimits() if self._table is None else self._table.limits

    def apply(self, table: RouteTable) -> bool:
        """Activate a table if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._table = table
        self._by_host = by_host
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        :param host: the host without a port, in lower case.
        :param path: the path without a query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def draw_service(self, route: Route) -> str:
        """Pick one of a route's services at random, by the weights of its split."""
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        if sum(weights) <= 0:
            return names[0]
        return self.rng.choices(names, weights)[0]

    def service(self, name: str) -> Service | None:
        """Return a service of the active table, ``None`` if it is unknown."""
        return None if self._table is None else self._table.services.get(name)

    def customer(self, key: str) -> str | None:
        """Return the customer of an API key, ``None`` if there is none."""
        if self._table is None or self._table.customers is None:
            return None
        return self._table.customers.get(key)

    @property
    def has_keys(self) -> bool:
        """Whether callers need an API key on routes that are not public."""
        return self._table is not None and self._table.customers is not None


def split_host(value: str) -> str:
    """Return the host of a ``Host`` header in lower case, without its port."""
    host = value.strip().lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def split_path(target: bytes) -> str:
    """Return the path of a request target, without its query."""
    path = target.partition(b"?")[0].decode("latin-1")
    scheme, separator, rest = path.partition("://")
    # Absolute form, such as http://host/path; "://" may also occur inside a path.
    if separator and not scheme.startswith("/"):
        return "/" + rest.partition("/")[2]
    return path
