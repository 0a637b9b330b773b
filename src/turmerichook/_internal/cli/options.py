"""Options that the operators' commands share."""

import dataclasses
import typing

import cyclopts

from turmerichook._internal.commands import context as contexts


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Where the services are, and how to print.

    :param store: address of the store, ip:port [env: TURMERICHOOK_STORE].
    :param gateway: address of a gateway, ip:port [env: TURMERICHOOK_GATEWAY].
    :param author: your name in the history [env: TURMERICHOOK_AUTHOR].
    :param json: print data for programs.
    """

    store: typing.Annotated[str | None, cyclopts.Parameter()] = None
    gateway: str | None = None
    author: str | None = None
    json: typing.Annotated[bool, cyclopts.Parameter(negative=())] = False

    def context(self) -> contexts.Context:
        """Return the store, gateway and author that a command uses."""
        return contexts.load(
            store=self.store, gateway=self.gateway, author=self.author
        )


DEFAULT = Options()
