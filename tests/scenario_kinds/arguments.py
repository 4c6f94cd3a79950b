"""Parses the arguments of scenario lines."""

from collections.abc import Iterable

LITERALS = {"null": None, "true": True, "false": False}
Value = None | bool | int | float | str


def parse_value(text: str) -> Value:
    """Converts an argument to None, a boolean, an integer or a float; other text stays a string."""
    if text in LITERALS:
        return LITERALS[text]
    for number in (int, float):
        try:
            return number(text)
        except ValueError:
            continue
    return text


def parse_arguments(arguments: Iterable[str]) -> tuple[list[str], dict[str, Value]]:
    """Splits arguments into positional ones and a dictionary of those written `name=value`."""
    positional, named = [], {}
    for argument in arguments:
        name, separator, text = argument.partition("=")
        if separator:
            named[name] = parse_value(text)
        else:
            positional.append(argument)
    return positional, named
