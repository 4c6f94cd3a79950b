"""The words of a scenario's lines."""


def value(text):
    """A word of a scenario as the value that it stands for."""
    if text in ("null", "true", "false"):
        return {"null": None, "true": True, "false": False}[text]
    try:
        return int(text)
    except ValueError:
        try:
            return float(text)
        except ValueError:
            return text


def split(words):
    """(plain words, {name: value}) of a line's words."""
    plain = [w for w in words if "=" not in w]
    return plain, {k: value(v) for k, _, v in (w.partition("=") for w in words if "=" in w)}
