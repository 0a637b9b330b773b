"""Messages that pass configurations between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GenerationBundle:
    """A whole generation."""

    generation: int
    digest: str
    bundle: bytes
