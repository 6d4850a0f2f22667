"""What the body of one response takes of this process's memory."""

from masticquay_endpoints import errors
from masticquay_serving import byte_budgets
from masticquay_serving import errors as serving_errors


class BodyShare(byte_budgets.Share):
    """A share of the budget whose errors are those of an exchange."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(byte_budgets.BUDGET)

    def require(self, size_bytes: int, due_s: float) -> None:
        """Takes bytes until there are enough for a body of this size.

        :param due_s: monotonic time until which it may wait
        :raises BodyBudgetError: if the budget is used up, and no body is
            larger
        :raises BudgetTimeoutError: if the budget remains used up by others
        """
        try:
            super().require(size_bytes, due_s)
        except serving_errors.BodyBudgetError as cause:
            raise errors.BodyBudgetError(str(cause)) from cause
        except serving_errors.BudgetTimeoutError as cause:
            raise errors.BudgetTimeoutError(str(cause)) from cause

    def hold(self, size_bytes: int, due_s: float) -> None:
        """Takes what data of this size needs, or gives all back if little.

        :raises BodyBudgetError: as ``require``
        :raises BudgetTimeoutError: as ``require``
        """
        if size_bytes > byte_budgets.FREE_BYTES:
            self.require(size_bytes, due_s)
        else:
            self.give_back()
