"""Plug-ins of a node, which register themselves by role and name."""

import typing as t

#: Factories by role and name; a factory takes the node and its settings.
PLUGINS: dict[str, dict[str, t.Callable[..., t.Any]]] = {}

_F = t.TypeVar("_F", bound=t.Callable)


class Plugin(t.Protocol):
    """A part of a process, started and closed with its node."""

    def start(self) -> None:
        """Begin work."""

    async def close(self) -> None:
        """End work and release what was held."""


def register_plugin(role: str, name: str) -> t.Callable[[_F], _F]:
    """Register a factory of plug-ins.

    :param role: role of the processes that have it, ``router`` or ``target``.
    :param name: unique within the role.
    """

    def decorate(factory: _F) -> _F:
        PLUGINS.setdefault(role, {})[name] = factory
        return factory

    return decorate
