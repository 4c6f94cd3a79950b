"""The words of a scenario's lines."""

from collections.abc import Iterable

LITERALS = {"null": None, "true": True, "false": False}
Value = None | bool | int | float | str


def parse_value(text: str) -> Value:
    """A word of a scenario as the value that it stands for."""
    if text in LITERALS:
        return LITERALS[text]
    for number in (int, float):
        try:
            return number(text)
        except ValueError:
            continue
    return text


def parse_arguments(words: Iterable[str]) -> tuple[list[str], dict[str, Value]]:
    """The plain words of a line, and the values of those like `name=value`."""
    plain, named = [], {}
    for word in words:
        name, separator, text = word.partition("=")
        if separator:
            named[name] = parse_value(text)
        else:
            plain.append(word)
    return plain, named
