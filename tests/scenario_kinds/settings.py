"""Scenarios of valid and invalid settings files."""

from pathlib import Path

import pytest

from emberglade.config import (
    SettingsError,
    load_operators,
    load_platform,
    small_quota_warnings,
)
from emberglade.main import check_detection

from .scenario import Scenario

PLATFORM_FILE = "settings.toml"
OPERATORS_FILE = "operators.txtpb"
VALID_PLATFORM = """node_name = "hearth-0"
location = "a"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
unknown_field = 7
[[peers]]
node_name = "hearth-1"
location = "b"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
size = 2
zones = ["a", "b"]
[[settings.teams]]
name = "core"
cpus = 4.0
[settings.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[settings.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
[settings.quota]
cpu = 0.288
mem_mb = 186.0
fd_limit = 1200
"""


class SettingsScenario(Scenario):
    """Checks a platform file after replacements in a valid one.

    Each expectation writes the file and then restores the valid text.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.text = VALID_PLATFORM

    def do_replace(self, old: str, new: str) -> None:
        r"""Replaces text in the platform file; `\n` stands for a line break."""
        assert old in self.text
        self.text = self.text.replace(old, new.replace("\\n", "\n"))

    # --- platform settings

    def expect_ok(self) -> None:
        """The platform file is loaded."""
        assert load_platform(self.write_platform()).node == "hearth-0"

    def expect_value_bytes(self, expected: str) -> None:
        """The platform file is loaded with this limit on the size of a value, in bytes."""
        assert load_platform(self.write_platform()).value_bytes == int(expected)

    def expect_error(self, text: str) -> None:
        """The platform file is rejected with one line that names it and matches this text."""
        with pytest.raises(SettingsError, match=text) as caught:
            load_platform(self.write_platform())
        assert "\n" not in str(caught.value)
        assert PLATFORM_FILE in str(caught.value)

    def expect_warning(self, text: str) -> None:
        """The platform file is loaded with one warning, which contains this text."""
        warnings = small_quota_warnings(load_platform(self.write_platform()))
        assert len(warnings) == 1, warnings
        assert text in warnings[0], warnings

    def expect_no_warning(self) -> None:
        """The platform file is loaded without a warning."""
        assert not small_quota_warnings(load_platform(self.write_platform()))

    def write_platform(self) -> Path:
        """Writes the platform file and restores the valid text for the next one."""
        file = self.directory / PLATFORM_FILE
        file.write_text(self.text)
        self.text = VALID_PLATFORM
        return file

    # --- operators' settings, with a valid platform file

    def expect_operators_ok(self, text: str) -> None:
        """An operators' file with this text is loaded and consistent with the platform file."""
        self.check_detection(self.write_operators(text))

    def expect_operators_error(self, text: str, message: str) -> None:
        """An operators' file with this text is rejected with this message."""
        with pytest.raises(SettingsError, match=message):
            load_operators(self.write_operators(text))

    def expect_detection_error(self, text: str, message: str) -> None:
        """An operators' file with this text is inconsistent with the platform file.

        The error is one line that names the operators' file and matches `message`.
        """
        with pytest.raises(SettingsError, match=message) as caught:
            self.check_detection(self.write_operators(text))
        assert "\n" not in str(caught.value)
        assert OPERATORS_FILE in str(caught.value)

    def write_operators(self, text: str) -> Path:
        """Writes the operators' file."""
        file = self.directory / OPERATORS_FILE
        file.write_text(text)
        return file

    def check_detection(self, file: Path) -> None:
        """Checks the failure detection settings of an operators' file."""
        check_detection(load_platform(self.write_platform()), load_operators(file), str(file))
