"""What can be wrong with the operators' settings of failure detection."""


class DetectionError(Exception):
    """A bound that contradicts another, or a domain that is wrong.

    Attributes:
        field: The operators' setting.
        value: Its value.
        reason: What is wrong with it, like "is not a name".
    """

    def __init__(self, field: str, value: object, reason: str) -> None:
        super().__init__(f"{field}: {value!r} {reason}")
        self.field = field
        self.value = value
        self.reason = reason
