"""Register the plug-ins of a node by role and name."""

import typing as t

#: Plug-in factories by role and name; each takes the router or agent object.
PLUGINS: dict[str, dict[str, t.Callable[..., t.Any]]] = {}

_F = t.TypeVar("_F", bound=t.Callable)


class Plugin(t.Protocol):
    """A component that is started and closed with its node."""

    def start(self) -> None:
        """Start the component."""

    async def close(self) -> None:
        """Stop the component and release its resources."""


def register_plugin(role: str, name: str) -> t.Callable[[_F], _F]:
    """Return a decorator that registers a plug-in factory.

    :param role: role of the processes that run it, ``router`` or ``target``.
    :param name: name, unique within the role.
    """

    def decorate(factory: _F) -> _F:
        PLUGINS.setdefault(role, {})[name] = factory
        return factory

    return decorate
