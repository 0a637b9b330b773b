"""Types of identifiers and counters."""

import typing

ZoneId = typing.NewType("ZoneId", str)
RegionId = typing.NewType("RegionId", str)
RackId = typing.NewType("RackId", str)
HostId = typing.NewType("HostId", str)
NodeId = typing.NewType("NodeId", str)
TeamId = typing.NewType("TeamId", str)
CustomerId = typing.NewType("CustomerId", str)
JobId = typing.NewType("JobId", str)
ServiceId = typing.NewType("ServiceId", str)
TaskId = typing.NewType("TaskId", str)
BootId = typing.NewType("BootId", str)
OperationId = typing.NewType("OperationId", str)
LeaseId = typing.NewType("LeaseId", str)
CheckpointId = typing.NewType("CheckpointId", str)
QueueId = typing.NewType("QueueId", str)
ImageId = typing.NewType("ImageId", str)
WorkerId = typing.NewType("WorkerId", str)

# Number of ownership changes of a zone, used as a fencing token.
Epoch = typing.NewType("Epoch", int)
# Increases with each change of leader; workers ignore orders whose token is
# lower than the highest they have received.
FencingToken = typing.NewType("FencingToken", int)
# Number of times a task has been started.
Attempt = typing.NewType("Attempt", int)
# Number of an applied configuration; each apply increases it.
Generation = typing.NewType("Generation", int)
# Version of one store key, for compare-and-swap; 0 means that the key does
# not exist.
Version = typing.NewType("Version", int)
# Number of changes to the whole store.
Revision = typing.NewType("Revision", int)
