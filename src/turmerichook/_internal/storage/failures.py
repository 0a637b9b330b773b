"""What a failed exchange with a store says of the operation."""

from turmerichook import exceptions


def of_read(
    error: exceptions.ExchangeError,
) -> exceptions.StoreUnavailableError:
    """Return the error of a read, which never has an effect."""
    return exceptions.StoreUnavailableError(
        message=f"the store cannot be read: {error.message}",
    )


def of_write(error: exceptions.ExchangeError) -> exceptions.StoreError:
    """Return the error of a write by how far the exchange has come."""
    message = f"the store did not confirm: {error.message}"
    if error.progress is exceptions.Progress.NOTHING_SENT:
        return exceptions.StoreUnavailableError(message=message)
    return exceptions.StoreOutcomeUnknownError(message=message)
