"""Run a fleet of real processes on this machine, and bring about failures."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import time
import typing as t

import aiohttp
import attrs

from snipedeal_standins.plans import FleetPlan
from snipedeal_standins.plans import RouterPlan
from snipedeal_standins.plans import TargetPlan

_READY_LIMIT_S = 30.0
_CLOSE_LIMIT_S = 10.0
_POLL_S = 0.05
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORT_STRIDE = 211


@attrs.define(eq=False)
class Child:
    """A process that the fleet started.

    :param incarnation: how often it was started under this name.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    incarnation: int = 0

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None


@attrs.frozen
class Ports:
    """Addresses of one of the project's processes."""

    peer: int
    http: int
    target: int = 0


class Fleet:
    """Processes of a plan, with the platform's stand-ins.

    :param plan: what to run.
    :param directory: where settings, logs and records go.
    :param relayed: names of processes whose peers, and whose ways to the VM
        list and the log, go through relays that can be cut.
    """

    def __init__(
        self,
        plan: FleetPlan,
        directory: pathlib.Path,
        relayed: t.Collection[str] = (),
    ) -> None:
        self.plan = plan
        self.directory = directory
        self.children: dict[str, Child] = {}
        self._relayed = set(relayed)
        self._relays: dict[str, int] = {}
        self._ports: dict[str, Ports] = {}
        self._log_port = free_port()
        self._vms_port = free_port()
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The HTTP client session of the fleet's owner."""
        assert self._session is not None
        return self._session

    @property
    def log_url(self) -> str:
        """Base URL of the log service."""
        return f"http://127.0.0.1:{self._log_port}"

    @property
    def vm_list_url(self) -> str:
        """Base URL of the VM list."""
        return f"http://127.0.0.1:{self._vms_port}"

    @property
    def router_urls(self) -> list[str]:
        """Base URLs of the routers, in the order of the plan."""
        return [self.url(router.name) for router in self.plan.routers]

    def url(self, name: str) -> str:
        """Return the base URL of a process of the project."""
        return f"http://127.0.0.1:{self._ports[name].http}"

    def peer_address(self, name: str) -> str:
        """Return the address at which a process's peers reach it."""
        return self._advertised(name)

    def target_url(self, name: str) -> str:
        """Return the base URL of a target."""
        return f"http://127.0.0.1:{self._ports[name].target}"

    def record_path(self, name: str) -> pathlib.Path:
        """Return the file that a target records into."""
        return self.directory / f"{name}.record"

    async def start(self) -> None:
        """Start everything, publish the plan's records, wait until ready."""
        await self.start_platform()
        await asyncio.gather(
            *(self.start_target(target) for target in self.plan.targets),
            *(self.start_router(router) for router in self.plan.routers),
        )
        await self.publish(self.plan.records)
        await self.wait_ready([router.name for router in self.plan.routers])
        await self.wait_ready([target.name for target in self.plan.targets])

    async def close(self) -> None:
        """Stop every process that was started."""
        for child in self.children.values():
            self.signal(child.name, signal.SIGCONT)
            self.signal(child.name, signal.SIGKILL)
        for child in self.children.values():
            if child.process is not None:
                await child.process.wait()
        if self._session is not None:
            await self._session.close()

    async def start_platform(self) -> None:
        """Start log service and VM list."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self._start_standin("log", "log", http=_local(self._log_port))
        await self._start_standin("vms", "vms", http=_local(self._vms_port))
        await self._wait_http(f"{self.log_url}/control")
        await self._wait_http(f"{self.vm_list_url}/vms")

    async def start_target(self, plan: TargetPlan) -> None:
        """Start a target and the agent beside it, and list the VM."""
        ports = Ports(free_port(), free_port(), free_port())
        self._ports[plan.name] = ports
        await self.start_standin_of(plan)
        node = await self._node_settings(plan.name, plan.zone, ports)
        settings = {
            "node": node,
            "service": plan.service,
            "target_url": f"http://127.0.0.1:{ports.target}",
            "dialect": "openai" if plan.kind == "engine" else "plain",
            **self.plan.agent_settings,
        }
        await self._start_node(plan.name, "snipedeal-agent", [], settings)
        await self.list_vm(plan.name, "live")

    async def start_standin_of(self, plan: TargetPlan) -> None:
        """Start the stand-in of a target."""
        await self._start_standin(
            f"{plan.name}/target",
            plan.kind,
            http=_local(self._ports[plan.name].target),
            record=str(self.record_path(plan.name)),
            **plan.options,
        )

    async def start_router(self, plan: RouterPlan) -> None:
        """Start a router and list the VM."""
        ports = Ports(free_port(), free_port())
        self._ports[plan.name] = ports
        node = await self._node_settings(plan.name, plan.zone, ports)
        settings = {"node": node, **self.plan.router_settings}
        await self._start_node(plan.name, "snipedeal", ["router"], settings)
        await self.list_vm(plan.name, "live")

    async def restart(self, name: str) -> None:
        """Start a process again that has ended, with empty state."""
        await self._spawn(self.children[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process by the id that was started."""
        child = self.children[name]
        if child.is_running:
            assert child.process is not None
            child.process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def wait_exit(self, name: str, limit_s: float = 60.0) -> int:
        """Wait for the end of a process and return its exit status."""
        process = self.children[name].process
        assert process is not None
        return await asyncio.wait_for(process.wait(), limit_s)

    async def list_vm(self, name: str, state: str) -> None:
        """Put a VM on the list or change its state."""
        entry = {
            "role": "router",
            "service": "",
            "zone": "",
            "region": self.plan.region,
            "address": self._advertised(name),
            "http": _local(self._ports[name].http),
            "state": state,
        }
        for target in self.plan.targets:
            if target.name == name:
                entry.update(role="target", service=target.service, zone=target.zone)
        for router in self.plan.routers:
            if router.name == name:
                entry["zone"] = router.zone
        await self._call("PUT", f"{self.vm_list_url}/vms/{name}", entry)

    async def unlist_vm(self, name: str) -> None:
        """Take a VM off the list."""
        await self._call("DELETE", f"{self.vm_list_url}/vms/{name}", None)

    async def control_log(self, **changes: t.Any) -> None:
        """Change what the log service does wrong."""
        await self._call("POST", f"{self.log_url}/control", changes)

    async def control_vms(self, **changes: t.Any) -> None:
        """Change lag and outage of the VM list."""
        await self._call("POST", f"{self.vm_list_url}/control", changes)

    async def control_relay(self, name: str, way: str, mode: str) -> None:
        """Change the mode of a relay.

        :param name: a process in ``relayed``.
        :param way: ``peer``, ``vms`` or ``log``.
        :param mode: ``pass``, ``silent``, ``silence_open`` or ``cut``.
        """
        port = self._relays[f"{name}/{way}/http"]
        await self._call("POST", f"http://127.0.0.1:{port}/control", {"mode": mode})

    async def publish(self, records: list[dict[str, t.Any]], *options: str) -> str:
        """Publish records with the real command; return what it printed.

        :raises RuntimeError: the command did not exit with 0.
        """
        status, output = await self.try_publish(records, *options)
        if status:
            raise RuntimeError(f"publish exited with {status}: {output}")
        return output

    async def try_publish(
        self, records: list[dict[str, t.Any]], *options: str
    ) -> tuple[int, str]:
        """Publish records; return exit status and output of the command."""
        path = self.directory / f"records-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(records), encoding="utf-8")
        return await self.command(
            "publish", str(path), "--log-url", self.log_url, *options
        )

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run an operators' command; return exit status and output."""
        process = await asyncio.create_subprocess_exec(
            _script("snipedeal"),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def wait_ready(self, names: t.Iterable[str]) -> None:
        """Wait until processes take work."""
        for name in names:
            await self._wait_http(f"{self.url(name)}/readyz")

    async def wait_until(
        self, condition: t.Callable[[], t.Awaitable[bool]], limit_s: float = 30.0
    ) -> None:
        """Wait for a condition.

        :raises TimeoutError: it did not come true within the limit.
        """
        deadline = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the condition did not come true")
            await asyncio.sleep(_POLL_S)

    async def status(self, name: str) -> dict[str, t.Any]:
        """Return a process's status, empty where it does not answer."""
        try:
            async with self.session.get(
                f"{self.url(name)}/status", timeout=aiohttp.ClientTimeout(total=2)
            ) as answer:
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}

    async def engine_load(self, name: str) -> dict[str, t.Any]:
        """Return the load that a target reports."""
        async with self.session.get(f"{self.target_url(name)}/load") as answer:
            return await answer.json()

    # -- processes -----------------------------------------------------------

    async def _node_settings(
        self, name: str, zone: str, ports: Ports
    ) -> dict[str, t.Any]:
        log_url, vms_url = self.log_url, self.vm_list_url
        if name in self._relayed:
            await self._start_relay(name, "peer", ports.peer)
            log_url = await self._start_relay(name, "log", self._log_port)
            vms_url = await self._start_relay(name, "vms", self._vms_port)
        return {
            "name": name,
            "region": self.plan.region,
            "zone": zone,
            "listen": f"tcp://127.0.0.1:{ports.peer}",
            "advertise": self._advertised(name),
            "http": _local(ports.http),
            "platform": {
                "log_url": log_url,
                "vm_list_url": vms_url,
                **self.plan.platform_settings,
            },
            **self.plan.node_settings,
        }

    async def _start_relay(self, name: str, way: str, target: int) -> str:
        listen, http = free_port(), free_port()
        self._relays[f"{name}/{way}"] = listen
        self._relays[f"{name}/{way}/http"] = http
        await self._start_standin(
            f"{name}/{way}-relay",
            "relay",
            listen=_local(listen),
            target=_local(target),
            http=_local(http),
        )
        await self._wait_http(f"http://127.0.0.1:{http}/control", any_status=True)
        return f"http://127.0.0.1:{listen}"

    def _advertised(self, name: str) -> str:
        port = self._relays.get(f"{name}/peer", self._ports[name].peer)
        return f"tcp://127.0.0.1:{port}"

    async def _start_node(
        self, name: str, script: str, arguments: list[str], settings: dict
    ) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        command = [_script(script), *arguments, str(path)]
        child = Child(name, command, self.directory / f"{name}.log")
        self.children[name] = child
        await self._spawn(child)

    async def _start_standin(self, name: str, kind: str, **options: t.Any) -> None:
        command = [sys.executable, "-m", "snipedeal_standins", kind]
        for option, value in options.items():
            flag = option.replace("_", "-")
            if value is True:
                command.append(f"--{flag}")
            elif value is not False:
                command += [f"--{flag}", str(value)]
        log_path = self.directory / f"{name.replace('/', '.')}.log"
        child = Child(name, command, log_path)
        self.children[name] = child
        await self._spawn(child)

    async def _spawn(self, child: Child) -> None:
        with child.log_path.open("ab") as log:
            child.process = await asyncio.create_subprocess_exec(
                *child.command, stdout=log, stderr=log, env=dict(os.environ)
            )
        child.incarnation += 1

    async def _wait_http(self, url: str, any_status: bool = False) -> None:
        async def is_answered() -> bool:
            try:
                async with self.session.get(url) as answer:
                    return any_status or answer.status == 200
            except (aiohttp.ClientError, OSError):
                return False

        await self.wait_until(is_answered, _READY_LIMIT_S)

    async def _call(self, method: str, url: str, body: t.Any) -> None:
        async with self.session.request(method, url, json=body) as answer:
            answer.raise_for_status()


def _candidate_ports() -> t.Iterator[int]:
    """Return ports below the range that outgoing connections take theirs from.

    Processes that run at the same time start at different places.
    """
    size = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * _PORT_STRIDE % size
    return (_FIRST_PORT + (start + n) % size for n in itertools.count())


_ports = _candidate_ports()


def free_port() -> int:
    """Return a TCP port of the loopback interface that is free now."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def _local(port: int) -> str:
    return f"127.0.0.1:{port}"


def _script(name: str) -> str:
    return str(pathlib.Path(sys.prefix) / "bin" / name)
