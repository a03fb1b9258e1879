#!/usr/bin/env python3
"""Measures the cost of the control plane for the processes of an idle fleet on loopback.

Starts control members, entries and agents (without backend servers), applies a configuration of
the given size, grants keys, and prints for each role the processor time, the resident memory and
the bytes per second of its connections. With --changes it also measures the time until a granted
key is in force on all processes and until a withdrawn key is rejected by all entries. Stops all
processes that it started.
"""

import argparse
import hashlib
import json
import os
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
DOMAINS = ["toton", "bescot", "washwood"]
START_TIMEOUT_S = 60
PORTS_PER_PROCESS = 4


class Fleet:
    """The processes of one run and their settings."""

    def __init__(self, arguments, folder):
        self.arguments = arguments
        self.folder = folder
        self.processes = {}
        self.credential = secrets.token_hex(16)
        self.write("fleet-credential", secrets.token_hex(16) + "\n")
        digest = hashlib.sha256(self.credential.encode()).hexdigest()
        self.write("operators", f"measure {digest}\n")

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        os.chmod(path, 0o600)
        return path

    def port(self, number, offset=0):
        return self.arguments.base_port + PORTS_PER_PROCESS * number + offset

    def address(self, number, offset=0):
        return f"127.0.0.1:{self.port(number, offset)}"

    def control(self, i):
        return i

    def entry(self, i):
        return 3 + i

    def agent(self, i):
        return 3 + self.arguments.entries + i

    def node(self, name, number, domain):
        return (f'[node]\nid = "{name}"\nvm = "{name}"\nfailure_domain = "{domain}"\n'
                f'region = "trent-valley"\nrpc_listen = "{self.address(number)}"\n'
                f'fleet_credential_file = "{self.folder}/fleet-credential"\n'
                f'metrics_listen = "{self.address(number, 2)}"\n')

    def control_rpc(self):
        return json.dumps([self.address(self.control(i)) for i in range(3)])

    def start(self, name, program, settings):
        path = self.write(name + ".toml", settings)
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        self.processes[name] = subprocess.Popen(
            [os.path.join(self.arguments.build, program), "--settings", path],
            stdout=log, stderr=log)

    def start_control(self, i):
        number = self.control(i)
        data = os.path.join(self.folder, f"data-{i}")
        os.makedirs(data, exist_ok=True)
        text = (f'member_id = {i + 1}\ndata_folder = "{data}"\n'
                f'admin_listen = "{self.address(number, 1)}"\n'
                f'operators_file = "{self.folder}/operators"\n')
        text += self.node(f"control-{i}", number, DOMAINS[i])
        for peer in range(3):
            text += (f'[[peers]]\nmember_id = {peer + 1}\n'
                     f'rpc_address = "{self.address(self.control(peer))}"\n'
                     f'failure_domain = "{DOMAINS[peer]}"\n')
        self.start(f"control-{i}", "briarwood-control", text)

    def start_entry(self, i):
        number = self.entry(i)
        text = f'listen = "{self.address(number, 1)}"\ncontrol_rpc = {self.control_rpc()}\n'
        self.start(f"entry-{i}", "briarwood-entry",
                   text + self.node(f"entry-{i}", number, DOMAINS[i % 3]))

    def start_agent(self, i):
        number = self.agent(i)
        # The agents prefer different entries, as in a fleet with 15 agents per entry.
        first = i % self.arguments.entries
        order = [(first + k) % self.arguments.entries for k in range(self.arguments.entries)]
        parents = json.dumps([self.address(self.entry(k)) for k in order])
        text = (f'listen = "{self.address(number, 1)}"\nbackend_server = "engine-{i}"\n'
                f'entry_rpc = {parents}\ncontrol_rpc = {self.control_rpc()}\n')
        self.start(f"agent-{i}", "briarwood-agent",
                   text + self.node(f"agent-{i}", number, DOMAINS[i % 3]))

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def admin(self, method, path, body=None):
        """Calls the administration API; retries at the next member while there is no leader."""
        deadline = time.monotonic() + START_TIMEOUT_S
        member = 0
        while True:
            request = urllib.request.Request(
                f"http://{self.address(self.control(member), 1)}{path}", method=method,
                data=None if body is None else json.dumps(body).encode(),
                headers={"Authorization": f"Bearer {self.credential}",
                         "Content-Type": "application/json"})
            try:
                with urllib.request.urlopen(request, timeout=30) as response:
                    return json.load(response)
            except urllib.error.HTTPError as error:
                text = error.read().decode()
                if error.code != 503 or time.monotonic() > deadline:
                    raise RuntimeError(f"{method} {path}: {error.code} {text}") from error
            except OSError as error:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{method} {path}: {error}") from error
            member = (member + 1) % 3
            time.sleep(0.1)

    def configuration(self):
        text = "".join(f'[[failure_domains]]\nid = "{d}"\nregion = "trent-valley"\n' for d in DOMAINS)
        for tier, name in enumerate(["booking", "planning", "manifest"]):
            text += (f'[[classes]]\nid = "{name}"\ntier = {tier}\nfirst_token_target_ms = 450\n'
                     f'token_gap_target_ms = 26\nfloor_share = 0.1\n')
        models = 14
        for i in range(models):
            text += f'[[models]]\nid = "model-{i}"\nmax_context_tokens = 32768\n'
        for i in range(self.arguments.customers):
            text += (f'[[customers]]\nid = "customer-{i}"\nrequests_per_minute = 600\n'
                     f'tokens_per_minute = 120000\nmax_concurrency = 50\n'
                     f'default_class = "booking"\n')
        for i in range(self.arguments.backends):
            # Backend servers without an agent process get addresses without a listener.
            number = self.agent(i) if i < self.arguments.agents else None
            listen = self.address(number, 1) if number is not None else f"127.1.{i // 250}.{i % 250 + 1}:1"
            rpc = self.address(number) if number is not None else f"127.1.{i // 250}.{i % 250 + 1}:2"
            text += (f'[[backend_servers]]\nid = "engine-{i}"\nfailure_domain = "{DOMAINS[i % 3]}"\n'
                     f'kind = "engine"\nagent_address = "{listen}"\nagent_rpc_address = "{rpc}"\n'
                     f'url = "http://127.0.0.1:1"\nmodel = "model-{i % models}"\n'
                     f'role = "mixed"\nmax_concurrency = 32\n')
        return text

    def grant(self, key, customer):
        return self.admin("POST", "/v1/keys", {
            "operation_id": "grant-" + key, "customer": customer, "label": "measure",
            "key_sha256": hashlib.sha256(key.encode()).hexdigest()})

    def withdraw(self, key):
        return self.admin("POST", "/v1/keys/withdraw", {
            "operation_id": "withdraw-" + key,
            "key_sha256": hashlib.sha256(key.encode()).hexdigest()})

    def metric(self, number, name):
        try:
            with urllib.request.urlopen(f"http://{self.address(number, 2)}/metrics",
                                        timeout=5) as response:
                found = re.search(rf"^{name} (\S+)$", response.read().decode(), re.MULTILINE)
                return float(found.group(1)) if found else -1.0
        except OSError:
            return -1.0


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


def connection_bytes():
    """Returns the bytes sent and received over all open connections, by process id."""
    output = subprocess.run(["ss", "-tinpO"], capture_output=True, text=True, check=True).stdout
    totals = {}
    for line in output.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner:
            count = sum(int(n) for n in re.findall(r"bytes_(?:sent|received):(\d+)", line))
            totals[int(owner.group(1))] = totals.get(int(owner.group(1)), 0) + count
    return totals


def measure_idle(fleet, seconds):
    pids = {name: process.pid for name, process in fleet.processes.items()}
    cpu_before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    bytes_before = connection_bytes()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    bytes_after = connection_bytes()
    print("role      processes  cpu%mean  cpu%max  rssMB mean  rssMB max  KB/s mean  KB/s max")
    for role in ["control", "entry", "agent"]:
        names = [name for name in pids if name.startswith(role)]
        if not names:
            continue
        cpu = [100 * (cpu_seconds(pids[n]) - cpu_before[n]) / elapsed for n in names]
        rss = [memory_mb(pids[n]) for n in names]
        # A connection that was closed during the measurement can make the difference negative.
        rate = [max(0, bytes_after.get(pids[n], 0) - bytes_before.get(pids[n], 0)) / elapsed / 1000
                for n in names]
        print(f"{role:<10}{len(names):>9}{sum(cpu) / len(cpu):>10.2f}{max(cpu):>9.2f}"
              f"{sum(rss) / len(rss):>12.1f}{max(rss):>11.1f}{sum(rate) / len(rate):>11.2f}"
              f"{max(rate):>10.2f}")


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def wait_in_force(fleet, numbers, index, started):
    waiting = set(numbers)
    while waiting:
        waiting = {n for n in waiting if fleet.metric(n, "briarwood_index") < index}
        if time.monotonic() - started > START_TIMEOUT_S:
            raise RuntimeError(f"index {index} is not in force at processes {sorted(waiting)}")
    return time.monotonic() - started


def key_status(fleet, entry, key):
    request = urllib.request.Request(f"http://{fleet.address(fleet.entry(entry), 1)}/v1/models",
                                     headers={"Authorization": f"Bearer {key}"})
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code


def measure_changes(fleet, count):
    arguments = fleet.arguments
    numbers = [fleet.control(i) for i in range(3)] + [fleet.entry(i) for i in range(arguments.entries)]
    numbers += [fleet.agent(i) for i in range(arguments.agents)]
    in_force, refused = [], []
    for change in range(count):
        key = f"change-{os.getpid()}-{change}"
        started = time.monotonic()
        index = int(fleet.grant(key, "customer-0")["index"])
        in_force.append(wait_in_force(fleet, numbers, index, started))
        for entry in range(arguments.entries):
            if key_status(fleet, entry, key) != 200:
                raise RuntimeError(f"entry {entry} refuses a key that is in force")
        started = time.monotonic()
        fleet.withdraw(key)
        for entry in range(arguments.entries):
            while key_status(fleet, entry, key) != 401:
                if time.monotonic() - started > START_TIMEOUT_S:
                    raise RuntimeError(f"entry {entry} accepts a withdrawn key")
        refused.append(time.monotonic() - started)
    for name, values in [("change in force on all processes", in_force),
                         ("withdrawn key refused by all entries", refused)]:
        print(f"{name}: {count} times, median {1000 * percentile(values, 0.5):.0f} ms, "
              f"p99 {1000 * percentile(values, 0.99):.0f} ms, max {1000 * max(values):.0f} ms")


def grant_keys(fleet):
    total = fleet.arguments.customers * fleet.arguments.keys_per_customer
    if total == 0:
        return
    started = time.monotonic()

    def work(first):
        for i in range(first, total, 16):
            fleet.grant(f"key-{i}", f"customer-{i % fleet.arguments.customers}")

    threads = [threading.Thread(target=work, args=(k,)) for k in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"granted {total} keys in {time.monotonic() - started:.1f} s")


def run(arguments):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(arguments, folder)
        try:
            for i in range(3):
                fleet.start_control(i)
            for i in range(arguments.entries):
                fleet.start_entry(i)
            for i in range(arguments.agents):
                fleet.start_agent(i)
            applied = fleet.admin("PUT", "/v1/documents/fleet",
                                  {"version": 1, "content": fleet.configuration()})
            grant_keys(fleet)
            numbers = [fleet.entry(i) for i in range(arguments.entries)]
            wait_in_force(fleet, numbers, int(applied["index"]), time.monotonic())
            time.sleep(arguments.settle)
            print(f"customers {arguments.customers}, keys per customer "
                  f"{arguments.keys_per_customer}, backend servers {arguments.backends}, "
                  f"entries {arguments.entries}, agents {arguments.agents}")
            measure_idle(fleet, arguments.seconds)
            if arguments.changes:
                measure_changes(fleet, arguments.changes)
        except RuntimeError as error:
            print(f"measure_fleet: {error}", file=sys.stderr)
            return 1
        finally:
            fleet.stop()
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--customers", type=int, default=10)
    parser.add_argument("--keys-per-customer", type=int, default=4)
    parser.add_argument("--backends", type=int, default=15)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=15)
    parser.add_argument("--changes", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--settle", type=float, default=3)
    parser.add_argument("--base-port", type=int, default=20000)
    arguments = parser.parse_args()
    if arguments.entries + arguments.agents + 3 > 200:
        parser.error("at most 200 processes")
    sys.exit(run(arguments))


if __name__ == "__main__":
    main()
