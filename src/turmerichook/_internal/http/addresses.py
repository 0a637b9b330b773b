"""Parsing of ``ip:port`` addresses."""

import ipaddress
import re

from turmerichook import exceptions

PORT = re.compile("[0-9]{1,5}")
PORT_MAX = 65535


def split(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port``.

    An IPv6 address is returned without its brackets.

    :raises SettingsError: if the address is malformed.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise _invalid_address(address) from error
    # int() also accepts spaces, signs, underscores and other digits.
    if not PORT.fullmatch(port) or int(port) > PORT_MAX:
        raise _invalid_address(address)
    return host.strip("[]"), int(port)


def _invalid_address(address: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        message=f"not an ip:port address: {address!r}",
        hint="use an IP address and a port, such as 127.0.0.1:7000",
    )
