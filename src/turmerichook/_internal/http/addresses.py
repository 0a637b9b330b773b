"""Parsing of ``ip:port`` addresses."""

import ipaddress

from turmerichook import exceptions

PORT_MAX = 65535


def split(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port``.

    An IPv6 address is returned without its brackets.

    :raises SettingsError: if the address is malformed.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError as error:
        raise _invalid_address(address) from error
    if not 0 <= port_number <= PORT_MAX:
        raise _invalid_address(address)
    return host.strip("[]"), port_number


def _invalid_address(address: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        message=f"not an ip:port address: {address!r}",
        hint="use an IP address and a port, such as 127.0.0.1:7000",
    )
