"""Settings files, right and wrong."""

import pytest

from emberglade.config import (
    SettingsError,
    load_operators,
    load_platform,
    small_quota_warnings,
)
from emberglade.main import check_detection

GOOD = """node_name = "hearth-0"
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


class SettingsScenario:
    """`replace "old" "new"` in a good file, then `expect ok`, `expect error "some text"` or
    `expect warning "some text"`."""

    def __init__(self, patch, tmp_path):
        self.tmp, self.text = tmp_path, GOOD

    def step(self, verb, words):
        if verb == "replace":
            assert words[0] in self.text
            self.text = self.text.replace(words[0], words[1].replace("\\n", "\n"))
        elif verb == "expect" and words[0] == "ok":
            assert load_platform(self.write()).node == "hearth-0"
            self.text = GOOD
        elif verb == "expect" and words[0] == "error":
            with pytest.raises(SettingsError, match=words[1]) as caught:
                load_platform(self.write())
            assert "\n" not in str(caught.value) and "settings.toml" in str(caught.value)
            self.text = GOOD
        elif verb == "expect" and words[0] == "warning":
            warnings = small_quota_warnings(load_platform(self.write()))
            assert len(warnings) == 1 and words[1] in warnings[0], warnings
            self.text = GOOD
        elif verb == "expect" and words[0] == "no_warning":
            assert not small_quota_warnings(load_platform(self.write()))
            self.text = GOOD
        elif verb == "operators":
            file = self.tmp / "operators.txtpb"
            file.write_text(words[0])
            if words[1] == "ok":
                self.check_detection(file)
            elif words[1] == "detection":
                with pytest.raises(SettingsError, match=words[2]) as caught:
                    self.check_detection(file)
                assert "\n" not in str(caught.value) and "operators.txtpb" in str(caught.value)
            else:
                with pytest.raises(SettingsError, match=words[2]):
                    load_operators(file)
        else:
            raise AssertionError(verb)

    def check_detection(self, file):
        check_detection(load_platform(self.write()), load_operators(file), str(file))

    def write(self):
        file = self.tmp / "settings.toml"
        file.write_text(self.text)
        return file
