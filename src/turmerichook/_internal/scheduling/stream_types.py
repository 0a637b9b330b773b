"""Types of all messages between own processes.

A module of its own, so that a gateway need not load the scheduler, which
would cost 1.2 MB of its 32 MB.
"""

from turmerichook._internal.configuration import messages as config_messages
from turmerichook._internal.membership import messages as member_messages
from turmerichook._internal.scheduling import messages

STREAM_TYPES = (
    member_messages.Hello,
    member_messages.Heartbeat,
    config_messages.GenerationBundle,
    messages.EndpointTable,
    messages.ZoneStatus,
)
