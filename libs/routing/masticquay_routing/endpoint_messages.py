"""Messages on what endpoints ask for and what ends them."""

from masticquay_routing import named_limits
from masticquay_wire import messages


@messages.register
class AskPermit(messages.Message):
    """Asks the leader for a permit to send a request to an endpoint.

    :param limit: what the host knows of the endpoint's limit
    """

    __slots__ = ('host', 'limit')

    def __init__(self, host: str, limit: named_limits.LimitWord):
        self.host = host
        self.limit = limit


@messages.register
class PermitAnswer(messages.Message):
    """The leader's answer; see ``shared_limits.Permit``."""

    __slots__ = ('granted', 'wait_ms', 'return_ms')

    def __init__(self, granted: bool, wait_ms: int, return_ms: int):
        self.granted = granted
        self.wait_ms = wait_ms
        self.return_ms = return_ms


@messages.register
class EndedUnderRequest(messages.Message):
    """A plain service's endpoint ended under a request.

    :param key: the key of the request, see ``gateway.request_keys``
    :param is_trial: whether the leader had let this copy run alone
    :param age_ms: how long ago it was, if an earlier leader was told before
    """

    __slots__ = ('host', 'endpoint_id', 'key', 'is_trial', 'age_ms')

    def __init__(
        self,
        host: str,
        endpoint_id: str,
        key: str,
        is_trial: bool,
        age_ms: int = 0,
    ):
        self.host = host
        self.endpoint_id = endpoint_id
        self.key = key
        self.is_trial = is_trial
        self.age_ms = age_ms


@messages.register
class AskTrial(messages.Message):
    """Asks the leader whether a copy of a suspect may run."""

    __slots__ = ('host', 'key')

    def __init__(self, host: str, key: str):
        self.host = host
        self.key = key


@messages.register
class TrialAnswer(messages.Message):
    """The leader's answer.

    :param wait_ms: 0 if the copy may run, else the time until one may
    """

    __slots__ = ('wait_ms',)

    def __init__(self, wait_ms: int):
        self.wait_ms = wait_ms


@messages.register
class TrialEnded(messages.Message):
    """The copy of a suspect that ran has ended.

    :param survived: whether an endpoint answered it and did not end
    """

    __slots__ = ('host', 'key', 'survived')

    def __init__(self, host: str, key: str, survived: bool):
        self.host = host
        self.key = key
        self.survived = survived
