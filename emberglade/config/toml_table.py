"""Typed access to a TOML file; errors give the full name of the field."""

import math
from typing import Any, NoReturn

from ..transport import parse_address
from .settings import SettingsError

MAX_PORT = 65535


class TomlTable:
    """One table of a file.

    A method named after a type returns a field's value as that type, or `default` if the field is
    missing. It raises SettingsError if the value is invalid, or if the field is missing and there
    is no default. `raw_value` and `tables` have a default of their own.
    """

    def __init__(self, file: object, name: str, data: Any) -> None:
        """Wraps a table as parsed by the TOML library.

        Args:
            file: The file, for errors.
            name: Full name of the table; empty for the top level of the file.
            data: The parsed table.

        Raises:
            SettingsError: The value is not a table.
        """
        self.file = file
        self.name = name
        if not isinstance(data, dict):
            raise SettingsError(file, "is not a table", name, data)
        self._data = data

    def __contains__(self, key: str) -> bool:
        return key in self._data

    def non_negative_number(self, key: str, default: float | None = None) -> float:
        """A number of at least 0."""
        value = self._take(key, default)
        if not _is_finite_number(value) or value < 0:
            self.reject(key, value, "is not a number of at least 0")
        return float(value)

    def positive_number(self, key: str, default: float | None = None) -> float:
        """A number above 0."""
        value = self._take(key, default)
        if not _is_finite_number(value) or value <= 0:
            self.reject(key, value, "is not a number above 0")
        return float(value)

    def positive_integer(self, key: str, default: int | None = None) -> int:
        """A whole number above 0."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            self.reject(key, value, "is not a whole number above 0")
        return value

    def string(self, key: str) -> str:
        """A non-empty string."""
        value = self._take(key)
        if not isinstance(value, str) or not value:
            self.reject(key, value, "is not a non-empty string")
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        """A list of strings, which may be empty."""
        value = self._take(key)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self.reject(key, value, "is not a list of strings")
        return tuple(value)

    def address(self, key: str) -> tuple[str, int]:
        """Host and port from an address like `10.0.0.1:8080`."""
        value = self._take(key)
        try:
            host, port = parse_address(value)
            is_address = bool(host) and 0 <= port <= MAX_PORT
        except (ValueError, AttributeError, TypeError):
            is_address = False
        if not is_address:
            self.reject(key, value, "is not an address like 10.0.0.1:8080")
        return host, port

    def raw_value(self, key: str) -> Any:
        """The value without any check; None if the field is missing."""
        return self._data.get(key)

    def table(self, key: str) -> "TomlTable":
        """A table in this table."""
        return TomlTable(self.file, self._full_name(key), self._data.get(key))

    def tables(self, key: str) -> "list[TomlTable]":
        """A list of tables; empty if the field is missing."""
        rows = self._data.get(key, [])
        if not isinstance(rows, list):
            self.reject(key, rows, "is not a list of tables")
        return [
            TomlTable(self.file, f"{self._full_name(key)}[{number}]", row)
            for number, row in enumerate(rows)
        ]

    def reject(self, key: str, value: object, reason: str) -> NoReturn:
        """Raises the SettingsError for a field's invalid value."""
        raise SettingsError(self.file, reason, self._full_name(key), value)

    def _take(self, key: str, default: Any = None) -> Any:
        value = self._data.get(key, default)
        if value is None:
            raise SettingsError(self.file, "is missing", self._full_name(key))
        return value

    def _full_name(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key


def _is_finite_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value)
