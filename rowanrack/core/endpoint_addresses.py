"""Which endpoints are listed at the same address, and which of them started last."""

from __future__ import annotations

from collections.abc import Iterable

from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointStatus

Address = tuple[str, int]


class EndpointAddresses:
    """The endpoints in the list by their address, in the state that the sources give them."""

    def __init__(self) -> None:
        self._by_name: dict[str, Endpoint] = {}
        self._names_by_address: dict[Address, set[str]] = {}

    def update(self, changed: Iterable[Endpoint]) -> list[Endpoint]:
        """Apply changes; return the unchanged endpoints at the addresses that these concern."""
        changed_names, addresses = set[str](), set[Address]()
        for endpoint in changed:
            changed_names.add(endpoint.name)
            addresses.add(endpoint.address)
            if (old := self._by_name.pop(endpoint.name, None)) is not None:
                addresses.add(old.address)
                self._remove(old)
            if endpoint.status is not EndpointStatus.REMOVED:
                self._by_name[endpoint.name] = endpoint
                self._names_by_address.setdefault(endpoint.address, set()).add(endpoint.name)
        names = {name for address in addresses for name in self._names_by_address.get(address, ())}
        return [self._by_name[name] for name in sorted(names - changed_names)]

    def has_newer(self, endpoint: Endpoint) -> bool:
        """Return whether another endpoint at the same address is known to have started later."""
        names = self._names_by_address.get(endpoint.address, ())
        return any(self._by_name[name].born_ms > endpoint.born_ms for name in names)

    def _remove(self, endpoint: Endpoint) -> None:
        names = self._names_by_address[endpoint.address]
        names.discard(endpoint.name)
        if not names:
            del self._names_by_address[endpoint.address]
