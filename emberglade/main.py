"""The controller's command line."""

import argparse
import logging
import os
import sys
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from .config import (
    Operators,
    Settings,
    SettingsError,
    load_operators,
    load_platform,
    small_quota_warnings,
)

# Features that can be enabled on the command line as well as in the operators' file, because
# reading that file imports the protobuf library, which is not needed otherwise.
FEATURES = ("failure-detection",)

LOG_LEVELS = {"ERROR": logging.ERROR, "DEBUG": logging.DEBUG}  # other values mean INFO
DEFAULT_LOG_LEVEL = "info"
EXIT_INVALID_SETTINGS = 2


def enable_features(operators: Operators, names: Iterable[str]) -> Operators:
    """The operators' settings with the named features enabled."""
    switches: dict[str, Any] = {name.replace("-", "_"): True for name in names}
    return replace(operators, **switches)


def check_detection(settings: Settings, operators: Operators, source: str) -> None:
    """Checks the bounds and failure domains of failure detection.

    Raises:
        SettingsError: A setting is invalid; the message names `source`.
    """
    from .failure_detection import DetectionError, detection_bounds, failure_domains

    try:
        detection_bounds(settings, operators)
        failure_domains(settings, operators)
    except DetectionError as error:
        raise SettingsError(source, error.reason, error.field, error.value) from None


def make_parser() -> argparse.ArgumentParser:
    """Creates the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="emberglade", description="One controller of an emberglade cluster."
    )
    parser.add_argument(
        "command",
        nargs="?",
        choices=("serve", "check", "profile"),
        default="serve",
        help="serve: run a controller (default); check: check the settings and exit; profile: "
        "summarize the accounts in controllers' logs, read from standard input",
    )
    parser.add_argument(
        "--operators", metavar="FILE", help="the operators' settings, in protobuf text format"
    )
    parser.add_argument(
        "--config", metavar="FILE", help="the platform's settings, in TOML; not used by profile"
    )
    parser.add_argument(
        "--enable",
        metavar="FEATURE",
        action="append",
        choices=FEATURES,
        default=[],
        help="enable a feature, as the operators' file can: " + ", ".join(FEATURES),
    )
    return parser


def load_settings(options: argparse.Namespace) -> tuple[Settings, Operators]:
    """The platform's and the operators' settings, checked.

    Raises:
        SettingsError: A file is missing or invalid.
    """
    settings = load_platform(options.config)
    operators = enable_features(load_operators(options.operators), options.enable)
    if operators.failure_detection or options.operators:
        check_detection(settings, operators, options.operators or "the defaults")
    return settings, operators


def run_profile() -> int:
    """Summarizes the accounts in the logs on standard input; returns the exit code."""
    from .account_profile import read_accounts, render

    print(render(read_accounts(sys.stdin)))
    return 0


def run_check(options: argparse.Namespace, settings: Settings, operators: Operators) -> int:
    """Prints a summary of the settings, and warnings; returns the exit code."""
    print(
        f"{options.config}: node {settings.node} in {settings.zone}, "
        f"{settings.cluster_size} nodes, {len(settings.teams)} teams: ok"
    )
    if operators.failure_detection or options.operators:
        from .failure_detection import describe_detection

        print(f"{options.config}: {describe_detection(settings, operators)}")
    for warning in small_quota_warnings(settings):
        print(f"{options.config}: warning: {warning}")
    if options.operators:
        print(f"{options.operators}: ok")
    return 0


def run_serve(settings: Settings, operators: Operators) -> int:
    """Runs a controller until the process ends; returns the exit code."""
    level = os.environ.get("LOG_LEVEL", DEFAULT_LOG_LEVEL).upper()
    logging.basicConfig(
        level=LOG_LEVELS.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    from .process import serve

    return serve(settings, operators)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = make_parser()
    options = parser.parse_args(arguments)
    if options.command == "profile":
        return run_profile()
    if options.config is None:
        parser.error("--config is required")
    try:
        settings, operators = load_settings(options)
    except SettingsError as error:
        print(f"emberglade: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if options.command == "check":
        return run_check(options, settings, operators)
    return run_serve(settings, operators)
