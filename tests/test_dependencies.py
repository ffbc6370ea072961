"""Members and wheels import only what they declare."""

import ast
import email
import importlib.metadata
import pathlib
import subprocess
import sys
import tomllib
import zipfile

import pytest
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = pathlib.Path(__file__).parent.parent
MEMBERS = sorted(
    path.parent.relative_to(ROOT).as_posix()
    for path in (
        *ROOT.glob("packages/*/pyproject.toml"),
        ROOT / "platform/pyproject.toml",
    )
)


def declared(member, extras=None):
    """Return the requirements of a member with its extras; ``None`` for all extras."""
    project = tomllib.loads((ROOT / member / "pyproject.toml").read_text())["project"]
    optional = project.get("optional-dependencies", {})
    lines = list(project["dependencies"])
    for extra in optional if extras is None else extras:
        lines += optional[extra]
    return [Requirement(line) for line in lines]


def package_of(member):
    (init,) = (ROOT / member / "src").glob("*/__init__.py")
    return init.parent.name


def importable_names(requirements):
    """Return the top-level packages of the distributions that are required."""
    names = {canonicalize_name(requirement.name) for requirement in requirements}
    installed = importlib.metadata.packages_distributions()
    return {
        package
        for package, distributions in installed.items()
        if names & {canonicalize_name(name) for name in distributions}
    }


def is_type_checking(node):
    return isinstance(node, ast.If) and ast.unparse(node.test).endswith("TYPE_CHECKING")


def imports_of(source, *, at_run_time=False):
    """Return the modules and names that a source imports, dotted."""
    found = set()
    pending = list(ast.iter_child_nodes(ast.parse(source)))
    while pending:
        node = pending.pop()
        if at_run_time and is_type_checking(node):
            continue
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, "imports are absolute"
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        pending += ast.iter_child_nodes(node)
    return found


def undeclared(sources, package, requirements):
    known = importable_names(requirements) | sys.stdlib_module_names | {package}
    return {
        (name, module)
        for name, source in sources.items()
        for module in imports_of(source)
        if module.partition(".")[0] not in known
    }


def member_sources(member):
    source = ROOT / member / "src"
    return {
        path.relative_to(source).as_posix(): path.read_text()
        for path in sorted(source.rglob("*.py"))
    }


@pytest.mark.parametrize("member", MEMBERS)
def test_member_imports_only_what_it_declares(member):
    sources = member_sources(member)
    assert undeclared(sources, package_of(member), declared(member)) == set()


@pytest.mark.parametrize("member", MEMBERS)
def test_wheel_imports_only_what_it_declares(tmp_path, member):
    clone = tmp_path / "clone"
    subprocess.run(["git", "clone", "--quiet", ROOT, clone], check=True)
    command = [sys.executable, "-m", "pip", "wheel", "--quiet", "--no-deps"]
    command += ["--no-build-isolation", "-w", str(tmp_path), str(clone / member)]
    subprocess.run(command, check=True, capture_output=True)
    (path,) = tmp_path.glob("*.whl")
    with zipfile.ZipFile(path) as wheel:
        names = wheel.namelist()
        sources = {
            name: wheel.read(name).decode() for name in names if name.endswith(".py")
        }
        (metadata,) = (name for name in names if name.endswith(".dist-info/METADATA"))
        fields = email.message_from_bytes(wheel.read(metadata))
    requirements = [Requirement(line) for line in fields.get_all("Requires-Dist", [])]
    assert sources.keys() == member_sources(member).keys()
    assert undeclared(sources, package_of(member), requirements) == set()


def module_names(member):
    """Return the sources of a member's modules by their dotted names."""
    return {
        name.removesuffix(".py").removesuffix("/__init__").replace("/", "."): source
        for name, source in member_sources(member).items()
    }


def reachable_modules(roots, modules):
    """Return the modules that are loaded, directly or not, by those of ``roots``."""
    pending, found = list(roots), set(roots)
    while pending:
        for imported in imports_of(modules[pending.pop()], at_run_time=True):
            parts = imported.split(".")
            names = {".".join(parts[:end]) for end in range(1, len(parts) + 1)}
            new = (names & modules.keys()) - found
            found |= new
            pending += new
    return found


def installed_with(member):
    """Return the members that come with a member, and the other requirements."""
    members = {
        tomllib.loads((ROOT / path / "pyproject.toml").read_text())["project"][
            "name"
        ]: path
        for path in MEMBERS
    }
    others, seen = set(), set()
    # The kernel serves all members, so its own modules may need any extra.
    pending = [(member, None)]
    while pending:
        path, extras = pending.pop()
        seen.add(path)
        for requirement in declared(path, extras):
            if requirement.name not in members:
                others.add(requirement)
            elif members[requirement.name] not in seen or requirement.extras:
                pending.append((members[requirement.name], requirement.extras))
    return seen, others


@pytest.mark.parametrize("member", MEMBERS)
def test_member_loads_only_modules_whose_dependencies_it_installs(member):
    """A module of the kernel may need packages of an extra that a member leaves out."""
    members, others = installed_with(member)
    modules = {
        name: text for path in members for name, text in module_names(path).items()
    }
    known = importable_names(others) | sys.stdlib_module_names
    known |= {package_of(path) for path in members}
    missing = {
        (name, imported)
        for name in reachable_modules(module_names(member), modules)
        for imported in imports_of(modules[name], at_run_time=True)
        if imported.partition(".")[0] not in known
    }
    assert missing == set()
