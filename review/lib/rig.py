"""Shared by the cases: starts processes, sends HTTP requests, writes the record, and ends everything at the end.

Every process listens on a loopback address and a free port. `Rig` ends each process that it started, whatever happens, and
ends the case with status 2 if it takes longer than `LIMIT_S`.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110


class NotRun(Exception):
    """The case could not run."""


def free_port():
    """A free port on the loopback address."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(REPOSITORY, "deploy", "balancer.toml"), "rb") as f:
        return tomllib.load(f)["run"]


class Rig:
    """One run of a case, with its record in the file `record`; without the disruption if `trouble` is false."""

    def __init__(self, record, trouble):
        self.trouble = trouble
        self.begun = time.monotonic()
        self.temporary = tempfile.mkdtemp(prefix="driftfront-review-")
        self.record = open(record, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.children = []
        self.note("case", f"trouble={'on' if self.trouble else 'off'}")
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        watchdog = threading.Timer(LIMIT_S, self._time_out)
        watchdog.daemon = True
        watchdog.start()

    def note(self, who, text):
        """Adds a line to the record."""
        with self.lock:
            self.record.write(f"{time.monotonic() - self.begun:8.3f} {who}: {text}\n")
            self.record.flush()

    def path(self, name):
        """A path in the temporary folder."""
        return os.path.join(self.temporary, name)

    def start(self, name, command, env=None, pass_fds=()):
        """Starts a process; its output goes to a file in the temporary folder."""
        log = open(self.path(f"{name}.log"), "wb")
        process = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, **(env or {})},
            pass_fds=pass_fds,
        )
        self.children.append(process)
        self.note("rig", f"{name} started")
        return process

    def start_coordinator(self, name, config, env=None, pass_fds=(), prefix=""):
        """Starts a coordinator with the command of the deploy file; `config` is the settings file named by LB_CONFIG."""
        command = ["/bin/sh", "-c", prefix + run_command()]
        tmp = self.path("tmp")
        os.makedirs(tmp, exist_ok=True)
        env = {"LB_CONFIG": config, "TMPDIR": tmp, **(env or {})}
        return self.start(name, command, env, pass_fds)

    def start_in_terminal(self, name, config, terminal):
        """Starts a coordinator with the command of the deploy file as a program of the terminal with this descriptor."""
        os.makedirs(self.path("tmp"), exist_ok=True)
        process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=REPOSITORY,
            env={**os.environ, "LB_CONFIG": config, "TMPDIR": self.path("tmp")},
            preexec_fn=lambda: os.login_tty(terminal),
        )
        self.children.append(process)
        self.note("rig", f"{name} started in a terminal")
        return process

    def log_of(self, name):
        """What a process has written."""
        with open(self.path(f"{name}.log"), encoding="utf-8", errors="replace") as f:
            return f.read()

    def write(self, name, text):
        """Writes a file in the temporary folder; returns its path."""
        path = self.path(name)
        with open(path + ".part", "w", encoding="utf-8") as f:
            f.write(text)
        os.replace(path + ".part", path)
        return path

    def wait_for(self, what, condition, seconds=10.0):
        """Waits for a condition; the case cannot run if it does not come true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(0.01)
        raise NotRun(f"no {what} within {seconds} s")

    def wait_until_alive(self, port):
        """Waits until a coordinator serves."""
        def alive():
            try:
                return http(port, "GET", "/alive", {}, b"", 1.0).status == 200
            except OSError:
                return False
        self.wait_for("coordinator", alive)

    def end(self):
        """Ends all processes and removes the temporary folder."""
        for process in self.children:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.children:
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def _time_out(self):
        self.note("rig", "the case took too long")
        self.end()
        os._exit(NOT_RUN)


class Answer:
    """An HTTP answer. `status` is 0 if the connection ended before a complete one."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def __str__(self):
        return f"status {self.status}, {self.body[:120]!r}"


def request_bytes(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1", "Host: t"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(stream):
    """Reads one answer from a binary file object."""
    first = stream.readline()
    if not first.startswith(b"HTTP/1."):
        return Answer(0, {}, b"")
    headers = {}
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            return Answer(0, {}, b"")
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(first.split()[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = stream.readline()
            if not line.endswith(b"\n"):
                return Answer(0, headers, body)
            size = int(line.split(b";")[0], 16)
            data = stream.read(size + 2)
            if len(data) != size + 2:
                return Answer(0, headers, body)
            if size == 0:
                return Answer(status, headers, body)
            body += data[:-2]
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    return Answer(status if len(body) == length else 0, headers, body)


def http(port, method, target, headers, body, seconds):
    """Sends a request on a new connection and reads its answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=seconds) as s:
        s.sendall(request_bytes(method, target, headers, body))
        with s.makefile("rb") as stream:
            try:
                return read_answer(stream)
            except OSError:
                return Answer(0, {}, b"")


def run_case(record, trouble, case):
    """Runs `case(rig)`, which returns whether the rule held, and exits with the status of the case."""
    rig = Rig(record, trouble)
    try:
        status = HELD if case(rig) else BROKEN
    except (NotRun, OSError, subprocess.SubprocessError, json.JSONDecodeError) as error:
        rig.note("rig", f"could not run: {error}")
        status = NOT_RUN
    finally:
        rig.end()
    rig.note("case", {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
