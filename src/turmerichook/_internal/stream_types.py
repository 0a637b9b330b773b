"""Types of the stream messages between turmerichook processes.

Every process can decode all of these types, including those that it only
forwards to other processes.
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
