"""Types of the messages that pass between the product's processes.

Every process knows all of them, so that it can pass on what is meant for
others.
"""

from turmerichook._internal.membership import member
from turmerichook._internal.scheduling import messages

STREAM_TYPES = (
    *member.TYPES,
    messages.EndpointTable,
    messages.EndpointsConfirmed,
    messages.ZoneStatus,
    messages.ZoneReleased,
)
