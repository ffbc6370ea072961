"""Only the adapter and the stand-ins use the platform's wire names."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
#: Headers, fields, topics and calls of the platform's protocol.
PLATFORM_NAMES = re.compile(
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


def test_product_contains_no_platform_names():
    found = {
        str(path.relative_to(ROOT)): PLATFORM_NAMES.findall(path.read_text())
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


def test_direct_router_does_not_import_unused_frameworks():
    # The platform replaces what these packages do, so the direct router must not
    # load them.
    unused = {"aiohttp", "falcon", "uvicorn", "pynng"}
    for path in (ROOT / "packages" / "snipedeal-direct").rglob("src/**/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert not unused & {a.name.split(".")[0] for a in node.names}
            elif isinstance(node, ast.ImportFrom):
                assert (node.module or "").split(".")[0] not in unused
