"""The operators' settings: an optional file in protobuf text format.

The message type is built here rather than generated, so no protobuf compiler is needed. The
protobuf library is imported only if a file is given, because the import slows the start-up.
"""

import math
from dataclasses import dataclass, fields
from typing import Any

from .settings import SettingsError

MAX_EPSILON = 0.5
MIN_LOOKBACK_S = 1
MIN_COST_ROUND_S = 1
DOMAINS_FIELD = "failure_domain"  # the only repeated field of the message


@dataclass(frozen=True, slots=True)
class DomainNetwork:
    """A network whose controllers are likely to fail together.

    Attributes:
        domain: Name of the failure domain.
        network: The network, in CIDR notation.
    """

    domain: str
    network: str


@dataclass(frozen=True)
class Operators:
    """The operators' settings; the attributes have the names of the file's fields.

    The defaults are those of DESIGN-emberglade, which marks some of them as open. The experts
    size the pools of machines; `emberglade/sizing` defines them.

    Attributes:
        epsilon: Learning rate of the experts' weights, above 0 and at most 0.5.
        cost_round_s: Length of a cost round, in seconds, at least 1.
        pool_premium: Cost of unmet demand, as a multiple of a machine's price.
        hold_idle_s: How long a machine in excess of the target number must be idle before it is
            drained, in order to be scaled in, in seconds.
        min_lookback_s: Shortest lookback of an expert, in seconds, at least 1.
        max_lookback_s: Longest lookback of an expert, in seconds.
        boot_guess_s: Boot time of machines for which the catalog has none, in seconds.
        seed: Seed of the random number generator that draws experts.
        cost_spread: Cap on an expert's cost, as a multiple of the best expert's cost.
        share: Share of the experts' total weight that is redistributed evenly in each cost round.
        failure_detection: Whether controllers detect each other's failures by heartbeats.
        suspect_after: Shortest time without a heartbeat after which a peer is suspected, as a
            multiple of the interval of the exchange between controllers.
        confirm_after: Time without a heartbeat after which a peer whose membership key has
            expired may be considered dead, as a multiple of the duration of an agent's lease.
        suspect_phi: The suspicion level (phi accrual) from which a peer is suspected.
        failure_domain: Networks that are failure domains. A controller outside of them belongs to
            the failure domain of its zone.
    """

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
    failure_detection: bool = False
    suspect_after: float = 2.0
    confirm_after: float = 1 / 3
    suspect_phi: float = 5.0
    failure_domain: tuple[DomainNetwork, ...] = ()


def load_operators(file: Any) -> Operators:
    """Reads the operators' settings from a file; without a file, returns the defaults.

    Args:
        file: Path of the file, or None.

    Raises:
        SettingsError: The file is missing or invalid.
    """
    if file is None:
        return Operators()
    message = _parse(file, _read_text(file))
    values = {
        field.name: getattr(message, field.name)
        for field in fields(Operators)
        if field.name != DOMAINS_FIELD and message.HasField(field.name)
    }
    for name, value in values.items():
        if not math.isfinite(value) or value < 0:
            raise SettingsError(file, "is not a number of at least 0", name, value)
    domains = tuple(DomainNetwork(row.name, row.network) for row in message.failure_domain)
    operators = Operators(**values, failure_domain=domains)
    _check_ranges(file, operators)
    return operators


def _read_text(file: Any) -> str:
    try:
        with open(file, encoding="utf-8") as source:
            return source.read()
    except OSError as error:
        raise SettingsError(file, f"cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(file, f"is not UTF-8: {error}") from None


def _parse(file: Any, text: str) -> Any:
    """Parses a file's text into the protobuf message."""
    from google.protobuf import text_format

    message = _message_class()()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        raise SettingsError(file, f"is not the protobuf text of Operators: {error}") from None
    return message


def _check_ranges(file: Any, operators: Operators) -> None:
    if not 0 < operators.epsilon <= MAX_EPSILON:
        raise SettingsError(
            file, f"is not above 0 and at most {MAX_EPSILON:g}", "epsilon", operators.epsilon
        )
    if (
        operators.min_lookback_s < MIN_LOOKBACK_S
        or operators.max_lookback_s < operators.min_lookback_s
    ):
        reason = f"is below min_lookback_s, or min_lookback_s is below {MIN_LOOKBACK_S}"
        raise SettingsError(file, reason, "max_lookback_s", operators.max_lookback_s)
    if operators.cost_round_s < MIN_COST_ROUND_S:
        reason = f"is not at least {MIN_COST_ROUND_S}"
        raise SettingsError(file, reason, "cost_round_s", operators.cost_round_s)


def _message_class() -> Any:
    """Creates the class of the protobuf message `emberglade.Operators` from the dataclasses."""
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    file = descriptor_pb2.FileDescriptorProto(
        name="emberglade.proto", package="emberglade", syntax="proto2"
    )
    _describe_operators(file, descriptor_pb2.FieldDescriptorProto)
    _describe_domain_network(file, descriptor_pb2.FieldDescriptorProto)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("emberglade.Operators"))


def _describe_operators(file: Any, field_types: Any) -> None:
    message = file.message_type.add(name="Operators")
    protobuf_types: dict[Any, Any] = {
        int: field_types.TYPE_INT64,
        float: field_types.TYPE_DOUBLE,
        bool: field_types.TYPE_BOOL,
    }
    for number, field in enumerate(fields(Operators), 1):
        if field.name == DOMAINS_FIELD:
            message.field.add(
                name=field.name,
                number=number,
                type=field_types.TYPE_MESSAGE,
                type_name=".emberglade.DomainNetwork",
                label=field_types.LABEL_REPEATED,
            )
        else:
            message.field.add(
                name=field.name,
                number=number,
                type=protobuf_types[field.type],
                label=field_types.LABEL_OPTIONAL,
            )


def _describe_domain_network(file: Any, field_types: Any) -> None:
    message = file.message_type.add(name="DomainNetwork")
    for number, name in enumerate(("name", "network"), 1):
        message.field.add(
            name=name,
            number=number,
            type=field_types.TYPE_STRING,
            label=field_types.LABEL_OPTIONAL,
        )
