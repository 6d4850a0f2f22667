"""Record of what is proven about each attempt at a request.

A refusal that promises a caller that its request was not run, and never will
be, must rest on proof for each attempt.
"""

import contextlib
import enum
import typing

from masticquay_gateway import errors
from masticquay_gateway import exchanges


class Proof(enum.Enum):
    """What is proven about one attempt."""

    MAY_RUN = 'may have run'
    NOT_SENT = 'no byte was sent'
    REFUSED = 'endpoint did not run it'


class Attempt:
    """A request that was to be sent to an endpoint.

    :ivar proof: ``MAY_RUN`` until another outcome is proven
    """

    __slots__ = ('endpoint_id', 'proof')

    def __init__(self, endpoint_id: str):
        self.endpoint_id = endpoint_id
        self.proof = Proof.MAY_RUN


class AttemptRecord:
    """The attempts at one request, those that run it only."""

    __slots__ = ('_attempts',)

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []

    @contextlib.contextmanager
    def sending(self, endpoint_id: str) -> typing.Iterator[None]:
        """Records an attempt, whose outcome the errors of the block prove."""
        attempt = Attempt(endpoint_id)
        self._attempts.append(attempt)
        try:
            yield
        except exchanges.NotSentError:
            attempt.proof = Proof.NOT_SENT
            raise
        except errors.NotRunError:
            attempt.proof = Proof.REFUSED
            raise

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to run the request."""
        return any(a.proof is Proof.MAY_RUN for a in self._attempts)

    def describe(self) -> list[str]:
        """Returns each attempt's endpoint and proof, for the log."""
        return [f'{a.endpoint_id}: {a.proof.value}' for a in self._attempts]
