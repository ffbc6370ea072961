"""The platform's names stay in the adapter and the stand-ins."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
#: Names of headers, fields, topics and calls that only the adapter knows.
NAMES = re.compile(
    r"snipedeal-(request|replica|prompt|token|expect|not-exec|credential|tenant|pin|kv)"
    r"|pathPrefix|apiKeys|api_keys|targetLatencyMs|maxAttempts"
    r"|tokensPerS|kvCapacity|keyed\.(op|servers|routers)|log-(newest|read|append)"
    r"|SNIPEDEAL_BOOT|non_idempotent",
    re.IGNORECASE,
)


def product_files():
    for package in sorted((ROOT / "packages").iterdir()):
        if package.name != "snipedeal-standins":
            yield from sorted(package.rglob("src/**/*.py"))


def test_product_has_no_names_of_the_platform():
    found = {
        str(path.relative_to(ROOT)): NAMES.findall(path.read_text())
        for path in product_files()
    }
    assert {path: names for path, names in found.items() if names} == {}


def test_product_does_not_import_the_adapter():
    for path in product_files():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            assert not any(name.startswith("snipedeal_platform") for name in names)


def test_direct_router_leaves_other_mechanisms_out():
    # what the platform makes needless is not loaded beside callers.
    needless = {"aiohttp", "falcon", "uvicorn", "pynng"}
    for path in (ROOT / "packages" / "snipedeal-direct").rglob("src/**/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert not needless & {a.name.split(".")[0] for a in node.names}
            elif isinstance(node, ast.ImportFrom):
                assert (node.module or "").split(".")[0] not in needless
