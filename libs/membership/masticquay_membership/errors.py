"""Errors of membership."""


class MembershipError(Exception):
    """Control did not confirm what a host asked for."""


class LeaseLostError(MembershipError):
    """This host holds no session lease now."""


class RefusedError(MembershipError):
    """Control refused the call; it was not done.

    :param code: one of the ``CODE`` constants of the messages
    """

    def __init__(self, code: str, detail: str):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
