"""One measured figure, as the benches of single parts return it."""


class Measurement:
    """A figure and how it came about.

    :param context: what was run, with its sizes
    """

    __slots__ = ('name', 'value', 'unit', 'context')

    def __init__(self, name: str, value: float, unit: str, context: str):
        self.name = name
        self.value = value
        self.unit = unit
        self.context = context

    def __str__(self) -> str:
        return f'{self.name} {self.value:.4g} {self.unit} ({self.context})'
