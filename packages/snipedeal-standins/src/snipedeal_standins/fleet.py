"""Run a fleet of real processes on this machine and inject faults into it."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import typing as t

import aiohttp
import attrs

from snipedeal_standins.plans import FleetPlan
from snipedeal_standins.plans import RouterPlan
from snipedeal_standins.plans import TargetPlan
from snipedeal_standins.ports import free_port

_READY_TIMEOUT_S = 30.0
_CLOSE_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Child:
    """A child process of the fleet.

    :param incarnation: number of times it was started under this name.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    incarnation: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None


@attrs.frozen
class Ports:
    """Loopback ports of a router, or of an agent and its target."""

    peer: int
    http: int
    target: int = 0


class Fleet:
    """The processes of a plan and a simulated platform: log service and VM list.

    :param plan: routers, targets and configuration to run.
    :param directory: directory for settings, logs and the event logs of targets.
    :param relayed: names of processes whose connections from peers, and to the VM
        list and the log, go through TCP proxies that can drop or close them.
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
        """The HTTP client session, open from start to close of the fleet."""
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
        """Return the base URL of a router or an agent."""
        return f"http://127.0.0.1:{self._ports[name].http}"

    def peer_address(self, name: str) -> str:
        """Return the address at which peers reach a process."""
        return self._advertised_address(name)

    def target_url(self, name: str) -> str:
        """Return the base URL of a target."""
        return f"http://127.0.0.1:{self._ports[name].target}"

    def record_path(self, name: str) -> pathlib.Path:
        """Return the path of the event log that a target writes."""
        return self.directory / f"{name}.record"

    async def start(self) -> None:
        """Start all processes, publish the plan's records and wait until ready."""
        await self.start_platform()
        await asyncio.gather(
            *(self.start_target(target) for target in self.plan.targets),
            *(self.start_router(router) for router in self.plan.routers),
        )
        await self.publish(self.plan.records)
        await self.wait_ready([router.name for router in self.plan.routers])
        await self.wait_ready([target.name for target in self.plan.targets])

    async def close(self) -> None:
        """Kill every process that was started, also suspended ones."""
        for child in self.children.values():
            self.signal(child.name, signal.SIGCONT)
            self.signal(child.name, signal.SIGKILL)
        for child in self.children.values():
            if child.process is not None:
                await child.process.wait()
        if self._session is not None:
            await self._session.close()

    async def start_platform(self) -> None:
        """Start the log service and the VM list."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self._start_simulated_service(
            "log", "log", http=_loopback_address(self._log_port)
        )
        await self._start_simulated_service(
            "vms", "vms", http=_loopback_address(self._vms_port)
        )
        await self._wait_http(f"{self.log_url}/control")
        await self._wait_http(f"{self.vm_list_url}/vms")

    async def start_target(self, plan: TargetPlan) -> None:
        """Start a target and its agent, and add the VM to the VM list."""
        ports = Ports(free_port(), free_port(), free_port())
        self._ports[plan.name] = ports
        await self.start_simulated_target(plan)
        node = await self._node_settings(plan.name, plan.zone, ports)
        settings = {
            "node": node,
            "service": plan.service,
            "target_url": f"http://127.0.0.1:{ports.target}",
            "dialect": "openai" if plan.kind == "engine" else "plain",
            **self.plan.agent_settings,
        }
        await self._start_node(plan.name, "snipedeal-agent", [], settings)
        await self.set_vm_state(plan.name, "live")

    async def start_simulated_target(self, plan: TargetPlan) -> None:
        """Start the simulated target itself, without its agent."""
        await self._start_simulated_service(
            f"{plan.name}/target",
            plan.kind,
            http=_loopback_address(self._ports[plan.name].target),
            record=str(self.record_path(plan.name)),
            **plan.options,
        )

    async def start_router(self, plan: RouterPlan) -> None:
        """Start a router and add its VM to the VM list."""
        ports = Ports(free_port(), free_port())
        self._ports[plan.name] = ports
        node = await self._node_settings(plan.name, plan.zone, ports)
        settings = {"node": node, **self.plan.router_settings}
        await self._start_node(plan.name, "snipedeal", ["router"], settings)
        await self.set_vm_state(plan.name, "live")

    async def restart(self, name: str) -> None:
        """Restart a process that has exited, with empty state."""
        await self._spawn(self.children[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has exited."""
        child = self.children[name]
        if child.is_running:
            assert child.process is not None
            child.process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def wait_exit(self, name: str, limit_s: float = 60.0) -> int:
        """Wait until a process has exited and return its exit status."""
        process = self.children[name].process
        assert process is not None
        return await asyncio.wait_for(process.wait(), limit_s)

    async def set_vm_state(self, name: str, state: str) -> None:
        """Add a VM to the VM list or change its state."""
        entry = {
            "role": "router",
            "service": "",
            "zone": "",
            "region": self.plan.region,
            "address": self._advertised_address(name),
            "http": _loopback_address(self._ports[name].http),
            "state": state,
        }
        for target in self.plan.targets:
            if target.name == name:
                entry.update(role="target", service=target.service, zone=target.zone)
        for router in self.plan.routers:
            if router.name == name:
                entry["zone"] = router.zone
        await self._request("PUT", f"{self.vm_list_url}/vms/{name}", entry)

    async def unlist_vm(self, name: str) -> None:
        """Remove a VM from the VM list."""
        await self._request("DELETE", f"{self.vm_list_url}/vms/{name}", None)

    async def control_log(self, **changes: t.Any) -> None:
        """Change the faults that the log service simulates."""
        await self._request("POST", f"{self.log_url}/control", changes)

    async def control_vms(self, **changes: t.Any) -> None:
        """Change the lag and the outage that the VM list simulates."""
        await self._request("POST", f"{self.vm_list_url}/control", changes)

    async def control_relay(self, name: str, link: str, mode: str) -> None:
        """Change the mode of one of a process's TCP proxies.

        :param name: a process in ``relayed``.
        :param link: proxied connections: ``peer``, ``vms`` or ``log``.
        :param mode: ``pass``, ``silent``, ``silence_open`` or ``cut``.
        """
        port = self._relays[f"{name}/{link}/http"]
        await self._request("POST", f"http://127.0.0.1:{port}/control", {"mode": mode})

    async def publish(self, records: list[dict[str, t.Any]], *options: str) -> str:
        """Publish records with the ``publish`` command and return its output.

        :raises RuntimeError: if the command fails.
        """
        status, output = await self.try_publish(records, *options)
        if status:
            raise RuntimeError(f"publish exited with {status}: {output}")
        return output

    async def try_publish(
        self, records: list[dict[str, t.Any]], *options: str
    ) -> tuple[int, str]:
        """Run the ``publish`` command; return its exit status and output."""
        path = self.directory / f"records-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(records), encoding="utf-8")
        return await self.command(
            "publish", str(path), "--log-url", self.log_url, *options
        )

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run a ``snipedeal`` command; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            _script_path("snipedeal"),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def wait_ready(self, names: t.Iterable[str]) -> None:
        """Wait until each process reports ready."""
        for name in names:
            await self._wait_http(f"{self.url(name)}/readyz")

    async def wait_until(
        self, condition: t.Callable[[], t.Awaitable[bool]], limit_s: float = 30.0
    ) -> None:
        """Poll until a condition is true.

        :raises TimeoutError: if it stays false for ``limit_s`` seconds.
        """
        deadline = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError("timed out waiting for the condition")
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def status(self, name: str) -> dict[str, t.Any]:
        """Return the status of a process, or an empty dict if it does not answer."""
        try:
            async with self.session.get(
                f"{self.url(name)}/status", timeout=aiohttp.ClientTimeout(total=2)
            ) as answer:
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}

    async def engine_load(self, name: str) -> dict[str, t.Any]:
        """Return the load that a simulated engine reports."""
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
            "advertise": self._advertised_address(name),
            "http": _loopback_address(ports.http),
            "platform": {
                "log_url": log_url,
                "vm_list_url": vms_url,
                **self.plan.platform_settings,
            },
            **self.plan.node_settings,
        }

    async def _start_relay(self, name: str, link: str, target_port: int) -> str:
        listen_port, http_port = free_port(), free_port()
        self._relays[f"{name}/{link}"] = listen_port
        self._relays[f"{name}/{link}/http"] = http_port
        await self._start_simulated_service(
            f"{name}/{link}-relay",
            "relay",
            listen=_loopback_address(listen_port),
            target=_loopback_address(target_port),
            http=_loopback_address(http_port),
        )
        await self._wait_http(f"http://127.0.0.1:{http_port}/control", any_status=True)
        return f"http://127.0.0.1:{listen_port}"

    def _advertised_address(self, name: str) -> str:
        port = self._relays.get(f"{name}/peer", self._ports[name].peer)
        return f"tcp://127.0.0.1:{port}"

    async def _start_node(
        self, name: str, script: str, arguments: list[str], settings: dict
    ) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        command = [_script_path(script), *arguments, str(path)]
        child = Child(name, command, self.directory / f"{name}.log")
        self.children[name] = child
        await self._spawn(child)

    async def _start_simulated_service(
        self, name: str, kind: str, **options: t.Any
    ) -> None:
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

        await self.wait_until(is_answered, _READY_TIMEOUT_S)

    async def _request(self, method: str, url: str, body: t.Any) -> None:
        async with self.session.request(method, url, json=body) as answer:
            answer.raise_for_status()


def _loopback_address(port: int) -> str:
    return f"127.0.0.1:{port}"


def _script_path(name: str) -> str:
    return str(pathlib.Path(sys.prefix) / "bin" / name)
