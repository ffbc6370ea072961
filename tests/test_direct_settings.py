"""Settings of the direct router, and their deployment template."""

import asyncio
import json
import pathlib
import re
import subprocess
import sys

import pytest

from snipedeal.exceptions import SettingsError
from snipedeal.settings import load_settings
from snipedeal_direct import serve
from snipedeal_direct.settings import DirectSettings
from snipedeal_standins.edge import Edge

TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy" / "router.json.template"
VALUES = {
    "node": "edge-dar-a-1",
    "zone": "dar-a",
    "ip": "10.1.0.33",
    "listen.front": "10.1.0.33:8783",
    "listen.ready": "10.1.0.33:8780",
    "internalPorts.0": "7400",
    "platform.address": "10.200.1.7:8781",
    "limits.maxFds": 4100,
    "bounds.graceS": 8,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.budgetWindowS": 10,
    "bounds.retryBudgetSlack": 58,
    "bounds.quotaWindowS": 4,
}


def fill(values):
    def replace(match):
        name, _, form = match[1].partition("|")
        return json.dumps(values[name]) if form == "json" else str(values[name])

    return re.sub(r"\{\{([^}]*)\}\}", replace, TEMPLATE.read_text())


def write(path, text):
    path.write_text(text)
    return str(path)


def test_filled_template_is_valid(tmp_path):
    path = write(tmp_path / "s.json", fill(VALUES))
    settings = load_settings(path, DirectSettings)
    assert settings.name == "edge-dar-a-1"
    assert settings.peer == "10.1.0.33:7400"
    assert settings.max_descriptors == 4100
    assert settings.source.address == "10.200.1.7:8781"
    assert settings.bounds.retry_slack == 58
    assert settings.bounds.grace_ms == 8000


@pytest.mark.parametrize(
    ("name", "value", "message"),
    [
        ("listen.front", "10.1.0.33", "listen: '10.1.0.33' is not host:port"),
        ("bounds.graceS", 0, "bounds.grace_s: 0"),
        ("bounds.graceS", "soon", "bounds.grace_s: str given"),
        ("platform.address", None, "source.address"),
    ],
)
def test_invalid_value_is_named_in_the_error(tmp_path, name, value, message):
    path = write(tmp_path / "s.json", fill({**VALUES, name: value}))
    with pytest.raises(SettingsError, match=re.escape(message)):
        load_settings(path, DirectSettings)


def test_missing_field_or_file_exits_with_an_input_error(tmp_path, capsys):
    data = json.loads(fill(VALUES))
    del data["zone"]
    path = write(tmp_path / "s.json", json.dumps(data))
    assert serve.run(path) == serve.EXIT_INPUT
    assert "zone" in capsys.readouterr().err
    assert serve.run(str(tmp_path / "nowhere.json")) == serve.EXIT_INPUT


def test_unknown_adapter_exits_with_an_input_error(tmp_path, capfd):
    data = json.loads(fill(VALUES))
    data["source"]["adapter"] = "no_such_adapter"
    path = write(tmp_path / "s.json", json.dumps(data))
    assert serve.run(path) == serve.EXIT_INPUT
    assert "no_such_adapter" in capfd.readouterr().err


def test_reload_keeps_settings_on_error_and_applies_bounds(tmp_path):
    async def check():
        edge = Edge()
        await edge.store.start()
        try:
            router = await edge.add_router()
            before = router.settings
            path = write(tmp_path / "s.json", "{")
            serve._reload(router, path)
            assert router.settings is before
            changed = fill({**VALUES, "bounds.graceS": 5})
            serve._reload(router, write(tmp_path / "s.json", changed))
            assert router.settings.bounds.grace_s == 5
            assert router.settings.listen == before.listen
        finally:
            await edge.close()

    asyncio.run(check())


def test_router_does_not_keep_the_command_line_parser_in_memory():
    code = (
        "import sys, snipedeal_direct.__main__ as program\n"
        "sys.argv = ['direct', '/nowhere.json']\n"
        "status = program.main()\n"
        "print(status, 'defopt' in sys.modules)\n"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout == "2 False\n"
    assert "/nowhere.json" in done.stderr


@pytest.mark.parametrize("arguments, status", [(["--help"], 0), ([], 2), (["-x"], 2)])
def test_command_line_has_help_and_rejects_wrong_use(arguments, status):
    command = [sys.executable, "-m", "snipedeal_direct", *arguments]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == status
    assert "settings" in done.stdout + done.stderr


@pytest.mark.parametrize(
    ("text", "expected"), [(None, 160.0), ("300", 300.0), ("1e9", None), ("x", None)]
)
def test_memory_of_the_vm_comes_from_the_environment(
    tmp_path, monkeypatch, text, expected
):
    if text is not None:
        monkeypatch.setenv("SNIPEDEAL_MEMORY_MB", text)
    path = write(tmp_path / "s.json", fill(VALUES))
    if expected is None:
        with pytest.raises(SettingsError, match="max_memory_mb"):
            load_settings(path, DirectSettings)
    else:
        assert load_settings(path, DirectSettings).max_memory_mb == expected
