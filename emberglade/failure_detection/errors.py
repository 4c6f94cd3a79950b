"""Errors in the operators' settings of failure detection."""


class DetectionError(Exception):
    """A bound is out of range or contradicts another, or a failure domain is invalid.

    Attributes:
        field: The name of the setting.
        value: The value that was set.
        reason: Why the value is invalid, such as "is not a name".
    """

    def __init__(self, field: str, value: object, reason: str) -> None:
        super().__init__(f"{field}: {value!r} {reason}")
        self.field = field
        self.value = value
        self.reason = reason
