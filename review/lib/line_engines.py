"""Stand-ins for engines with the platform's line protocol, and for the list of engines; all in one process.

The engines share what they have applied and the idempotency keys that they know, as engines with one scope for repeats do. A
request with a known key is a repeat: it is answered and not applied. A key is forgotten WINDOW_S after the engines first got
it. Work goes on when its connection closes ("A cancel or a time-out does not stop running work"). How long a statement runs
is in the statement: /* runs 9.0 s */. Each second a note tells how far it is.

usage: line_engines.py LIST_PORT WINDOW_S SEEN ENGINE_PORT...
"""
import json
import re
import socket
import sys
import threading
import time

LIST_PORT, WINDOW_S, SEEN = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3]
ENGINES = {f"s-{n:08x}": int(port) for n, port in enumerate(sys.argv[4:], 1)}
LOCK = threading.Lock()
FIRST_SEEN = {}
BEGUN = time.monotonic()


def note(text):
    """Call with the lock held."""
    with open(SEEN, "a", encoding="utf-8") as f:
        f.write(f"{time.monotonic() - BEGUN:8.3f} {text}\n")


class Connection:
    def __init__(self, name, stream):
        self.name, self.stream, self.is_open = name, stream, True
        self.writing = threading.Lock()

    def send(self, text):
        with self.writing:
            try:
                self.stream.sendall(text.encode())
            except OSError:
                self.is_open = False

    def serve(self):
        lines = self.stream.makefile("rb")
        try:
            while line := lines.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    statement = lines.read(int(words[3]) + 2)[:-2].decode()
                    fields = dict(f.split("=", 1) for f in words[2].split(",") if "=" in f)
                    threading.Thread(target=self.run, args=(words[1], fields, statement), daemon=True).start()
                elif words[0] in ("HELO", "STAT"):
                    gauges = "gauges=inflight:0;queue:0;x0:0.1" if words[0] == "STAT" else "-"
                    self.send(f"{words[1]} PONG {gauges} 0\r\n\r\n")
                elif words[0] == "STOP":
                    with LOCK:
                        note(f"{self.name} got STOP {words[1]}")
        except OSError:
            pass
        self.is_open = False
        self.stream.close()

    def run(self, call, fields, statement):
        token = fields.get("token")
        with LOCK:
            now = time.monotonic()
            known = FIRST_SEEN.get(token) if token else None
            is_repeat = known is not None and now - known < WINDOW_S
            note(f"{self.name} got {call} token={token} {'(a repeat)' if is_repeat else ''} {statement}")
            if not is_repeat and token:
                FIRST_SEEN[token] = now
        if not is_repeat:
            found = re.search(r"runs ([0-9.]+) s", statement)
            seconds = float(found.group(1)) if found else 0.01
            end = time.monotonic() + seconds
            while (left := end - time.monotonic()) > 0:
                time.sleep(min(left, 1.0))
                if left > 1.0:
                    self.send(f"{call} INFO res=p,figure={1 - (left - 1.0) / seconds:.2f} 0\r\n\r\n")
            with LOCK:
                note(f"{self.name} applied {call} token={token}")
        page = "1\tok\tx\n"
        self.send(f"{call} HIT fetches=1 {len(page)}\r\n{page}\r\n")


def listen(port, serve):
    server = socket.create_server(("127.0.0.1", port), backlog=128)
    while True:
        stream, _ = server.accept()
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(stream,), daemon=True).start()


def tell_list(stream):
    instances = [
        {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "building-a", "machineType": "std-8",
         "cell": 0, "lifecycle": "ready", "weight": 4, "startedAtMs": 0}
        for name, port in ENGINES.items()
    ]
    event = {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": instances}}
    try:
        request = b""
        while b"\r\n\r\n" not in request:
            request += stream.recv(4096) or b"\r\n\r\n"
        stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        last = re.search(rb"last-event-id: *(\d+)", request, re.IGNORECASE)
        if last is None or int(last.group(1)) < 1:
            stream.sendall(f"id: 1\ndata: {json.dumps(event)}\n\n".encode())
        while True:
            stream.sendall(b": \n\n")
            time.sleep(1.0)
    except OSError:
        stream.close()


for engine, engine_port in ENGINES.items():
    serve_engine = lambda stream, engine=engine: Connection(engine, stream).serve()
    threading.Thread(target=listen, args=(engine_port, serve_engine), daemon=True).start()
listen(LIST_PORT, tell_list)
