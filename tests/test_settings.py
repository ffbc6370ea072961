import json
import pathlib

import pytest

from snipedeal.exceptions import SettingsError
from snipedeal.settings import AgentSettings
from snipedeal.settings import RouterSettings
from snipedeal.settings import load_settings
from snipedeal_router.publishing import read_records

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def changed(tmp_path, name, change):
    data = json.loads((EXAMPLES / name).read_text())
    change(data)
    path = tmp_path / name
    path.write_text(json.dumps(data))
    return str(path)


class TestExamples:
    def test_settings_load(self):
        router = load_settings(str(EXAMPLES / "router.json"), RouterSettings)
        agent = load_settings(str(EXAMPLES / "agent.json"), AgentSettings)
        assert router.node.http_port == 8100
        assert agent.service == "msemaji"

    def test_records_are_acceptable(self):
        records, problems = read_records(str(EXAMPLES / "records.json"))
        assert problems == []
        assert len(records) == 5


class TestErrors:
    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            (lambda d: d.update(novel=1), "novel"),
            (
                lambda d: d["node"].update(zone=5),
                "node.zone: int given, str is allowed",
            ),
            (lambda d: d.update(claim_partitions=0), "claim_partitions: 0 is not in 1"),
            (lambda d: d["node"].pop("name"), "node.name"),
            (lambda d: d["node"].update(http="nowhere"), "node.http"),
            (lambda d: d["node"].update(log_level="loud"), "debug, info, warning"),
            (lambda d: d["node"].update(listen="udp://x"), "tcp://"),
            (lambda d: d.update(max_queued=True), "max_queued: bool given"),
            (lambda d: d.update(node=[]), "node: list given, an object is allowed"),
        ],
    )
    def test_message_names_file_key_and_allowed_values(
        self, tmp_path, change, expected
    ):
        path = changed(tmp_path, "router.json", change)
        with pytest.raises(SettingsError) as caught:
            load_settings(path, RouterSettings)
        assert path in caught.value.message
        assert expected in caught.value.message

    def test_missing_file_or_invalid_json(self, tmp_path):
        path = tmp_path / "x.json"
        with pytest.raises(SettingsError):
            load_settings(str(path), RouterSettings)
        path.write_text("{")
        with pytest.raises(SettingsError, match="not JSON"):
            load_settings(str(path), RouterSettings)
