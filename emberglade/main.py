"""The controller's command line."""

import argparse
import logging
import os
import sys
from dataclasses import replace

from .config import SettingsError, load_operators, load_platform, small_quota_warnings

# Switches of the operators' settings that the command line can turn on as well: reading the
# operators' file takes a library that a start without it does not import.
FEATURES = ("failure-detection",)


def enable(operators, names):
    """The operators' settings with these features turned on."""
    return replace(operators, **{name.replace("-", "_"): True for name in names})


def check_detection(settings, operators, source):
    """SettingsError if bounds or domains of failure detection are wrong."""
    from .failure_detection import DetectionError, detection_bounds, failure_domains

    try:
        detection_bounds(settings, operators)
        failure_domains(settings, operators)
    except DetectionError as error:
        raise SettingsError(source, error.reason, error.field, error.value) from None


def main(arguments=None):
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="emberglade", description="One controller of an emberglade cluster."
    )
    parser.add_argument(
        "command",
        nargs="?",
        choices=("serve", "check", "profile"),
        default="serve",
        help="serve (default); check the settings and start nothing; or profile: sum up the "
        "accounts in controllers' logs, read from standard input",
    )
    parser.add_argument(
        "--operators", metavar="FILE", help="the operators' own settings, protobuf text format"
    )
    parser.add_argument(
        "--config", metavar="FILE", help="the platform's settings, TOML; not needed for profile"
    )
    parser.add_argument(
        "--enable",
        metavar="FEATURE",
        action="append",
        choices=FEATURES,
        default=[],
        help="turn a feature on, as the operators' file can: " + ", ".join(FEATURES),
    )
    options = parser.parse_args(arguments)
    if options.command == "profile":
        from .accounting import read_accounts, render

        print(render(read_accounts(sys.stdin)))
        return 0
    if options.config is None:
        parser.error("--config is needed")
    try:
        settings = load_platform(options.config)
        operators = enable(load_operators(options.operators), options.enable)
        if operators.failure_detection or options.operators:
            check_detection(settings, operators, options.operators or "the defaults")
    except SettingsError as error:
        print(f"emberglade: {error}", file=sys.stderr)
        return 2
    if options.command == "check":
        print(
            f"{options.config}: node {settings.node} in {settings.zone}, {settings.size} nodes, "
            f"{len(settings.teams)} teams: ok"
        )
        if operators.failure_detection or options.operators:
            from .failure_detection import describe_detection

            print(f"{options.config}: {describe_detection(settings, operators)}")
        for warning in small_quota_warnings(settings):
            print(f"{options.config}: warning: {warning}")
        if options.operators:
            print(f"{options.operators}: ok")
        return 0
    level = os.environ.get("LOG_LEVEL", "info").upper()
    logging.basicConfig(
        level={"ERROR": logging.ERROR, "DEBUG": logging.DEBUG}.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    from .controller import serve

    return serve(settings, operators)
