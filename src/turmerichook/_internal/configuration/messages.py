"""Messages that pass configurations between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GenerationBundle:
    """A whole generation."""

    generation: int
    digest: str
    bundle: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GenerationRequest:
    """Asks for the newest generation, of at least this number."""

    generation: int
