"""Exceptions raised by the membership library."""


class MembershipError(Exception):
    """Base class of the errors of membership.

    Raised itself when control did not confirm a request, which may have taken
    effect.
    """


class LeaseLostError(MembershipError):
    """This host holds no valid session lease."""


class RefusedError(MembershipError):
    """Control refused the request, which had no effect.

    :param code: a failure code, such as a ``CODE_*`` constant of ``messages``
    """

    def __init__(self, code: str, detail: str):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
