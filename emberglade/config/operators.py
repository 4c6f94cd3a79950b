"""The operators' own settings: an optional file in protobuf text format.

The message is described here rather than generated, so that no compiler is needed; protobuf is
only imported when a file is named, since starting has to be cheap.
"""

import math
from dataclasses import dataclass, fields

from .platform import SettingsError


@dataclass(frozen=True, slots=True)
class DomainNetwork:
    """One network, in CIDR notation, whose controllers are likely to fail together."""

    domain: str
    network: str


@dataclass(frozen=True)
class Operators:
    """Defaults are those of DESIGN-emberglade, or tainted there as open."""

    epsilon: float = 0.5
    cost_round_s: float = 5.0
    pool_premium: float = 6.0
    hold_idle_s: float = 40.0
    min_lookback_s: float = 30.0
    max_lookback_s: float = 600.0
    boot_guess_s: float = 40.0
    seed: int = 0
    cost_spread: float = 2.0
    share: float = 0.001
    failure_detection: bool = False  # whether controllers watch each other by heartbeats
    suspect_after: float = 2.0  # intervals of the exchange between controllers
    confirm_after: float = 1 / 3  # workers' leases
    suspect_phi: float = 5.0
    failure_domain: tuple[DomainNetwork, ...] = ()


def _message_class():
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    file = descriptor_pb2.FileDescriptorProto(
        name="emberglade.proto", package="emberglade", syntax="proto2"
    )
    message = file.message_type.add(name="Operators")
    field = descriptor_pb2.FieldDescriptorProto
    kinds = {int: field.TYPE_INT64, float: field.TYPE_DOUBLE, bool: field.TYPE_BOOL}
    for number, item in enumerate(fields(Operators), 1):
        if item.type in kinds:
            message.field.add(
                name=item.name, number=number, type=kinds[item.type], label=field.LABEL_OPTIONAL
            )
        else:
            message.field.add(
                name=item.name,
                number=number,
                type=field.TYPE_MESSAGE,
                type_name=".emberglade.DomainNetwork",
                label=field.LABEL_REPEATED,
            )
    network = file.message_type.add(name="DomainNetwork")
    for number, name in enumerate(("name", "network"), 1):
        network.field.add(
            name=name, number=number, type=field.TYPE_STRING, label=field.LABEL_OPTIONAL
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("emberglade.Operators"))


def load_operators(file):
    """The operators' settings in a file, or the defaults; SettingsError if it is wrong."""
    if file is None:
        return Operators()
    from google.protobuf import text_format

    try:
        with open(file, encoding="utf-8") as source:
            text = source.read()
    except OSError as error:
        raise SettingsError(f"{file}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{file}: is not UTF-8: {error}") from None
    message = _message_class()()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        raise SettingsError(f"{file}: is not the protobuf text of Operators: {error}") from None
    found = {
        item.name: getattr(message, item.name)
        for item in fields(Operators)
        if item.name != "failure_domain" and message.HasField(item.name)
    }
    found["failure_domain"] = tuple(
        DomainNetwork(row.name, row.network) for row in message.failure_domain
    )
    for name, value in found.items():
        if name == "failure_domain":
            continue
        if not math.isfinite(value) or value < 0:
            raise SettingsError(f"{file}: {name}: {value!r} is not a number of at least 0")
    if not 0 < found.get("epsilon", 0.1) <= 0.5:
        raise SettingsError(f"{file}: epsilon: {found['epsilon']!r} is not above 0 and at most 0.5")
    made = Operators(**found)
    if made.min_lookback_s < 1 or made.max_lookback_s < made.min_lookback_s:
        raise SettingsError(
            f"{file}: max_lookback_s: {made.max_lookback_s!r} is not at least min_lookback_s, "
            "itself at least 1"
        )
    if made.cost_round_s < 1:
        raise SettingsError(f"{file}: cost_round_s: {made.cost_round_s!r} is not at least 1")
    return made
