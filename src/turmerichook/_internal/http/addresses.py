"""``ip:port`` addresses."""

import ipaddress

from turmerichook import exceptions

PORT_MAX = 65535


def split(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``ip:port``.

    :raises SettingsError: if the address is malformed.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise _invalid(address) from error
    if not 0 <= number <= PORT_MAX:
        raise _invalid(address)
    return host.strip("[]"), number


def _invalid(address: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        message=f"not an ip:port address: {address!r}",
        hint="write an IP number and a port, such as 127.0.0.1:7000",
    )
