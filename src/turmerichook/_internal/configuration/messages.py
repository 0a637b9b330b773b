"""Stream messages that carry configurations between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GenerationBundle:
    """One generation with all its files.

    :param digest: SHA-256 of ``bundle``, in hexadecimal.
    :param bundle: the operators' files, packed as in the store.
    """

    generation: int
    digest: str
    bundle: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GenerationRequest:
    """Request for the newest generation that a peer has.

    :param generation: lowest number that is useful to the sender; a peer
        whose newest generation is lower does not answer.
    """

    generation: int
