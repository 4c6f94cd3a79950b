"""What can be wrong with the operators' settings of failure detection."""


class DetectionError(Exception):
    """A bound that contradicts another, or a domain that is wrong: field, value and reason."""

    def __init__(self, field: str, value: object, reason: str) -> None:
        super().__init__(f"{field}: {value!r} {reason}")
