"""Two clients that use one query id in turn, while one answer of the engine comes twice. See claim.txt."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig as r  # noqa: E402

ROUNDS = 30
CONFIG = """
listen "127.0.0.1:{port}"
front "clickhouse"
engines {{
    engine "engine-1" at="127.0.0.1:{engine}" building="main" kind="std-8"
}}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true in-order=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"""


def answers(port):
    try:
        return r.http(port, "GET", "/ping", {}, b"", 1.0).status == 200
    except OSError:
        return False


def case(rig):
    port, engine = r.free_port(), r.free_port()
    seen = rig.write("seen", "")
    copies = "1" if rig.trouble else "0"
    rig.start("engine", [sys.executable, os.path.join(FOLDER, "engine.py"), str(engine), copies, seen])
    rig.wait_for("engine", lambda: answers(engine))
    rig.start_coordinator("coordinator", rig.write("site.kdl", CONFIG.format(port=port, engine=engine)))
    rig.wait_until_alive(port)
    clients = []
    for _ in range(2):
        stream = r.socket.create_connection(("127.0.0.1", port), timeout=5)
        stream.setsockopt(r.socket.IPPROTO_TCP, r.socket.TCP_NODELAY, 1)
        clients.append((stream, stream.makefile("rb")))
    wrong = 0
    for number in range(ROUNDS):
        # One at a time: the id is never in use when it is used again.
        stream, answers_of = clients[number % 2]
        statement = f"SELECT name FROM school_{number}.members"
        stream.sendall(r.request_bytes("POST", "/?query_id=panel-7", {}, statement.encode()))
        answer = r.read_answer(answers_of)
        is_served = answer.status == 200
        is_right = answer.body == f"made for\t{statement}\n".encode()
        wrong += is_served and not is_right
        verdict = "" if is_right else " WRONG" if is_served else " not served"
        rig.note(f"client {number % 2 + 1}", f"{statement} -> {answer}{verdict}")
        if answer.status == 0:
            raise r.NotRun("a connection ended")
    with open(seen, encoding="utf-8") as f:
        for line in f.read().splitlines():
            rig.note("engine", line)
    rig.note("case", f"{wrong} of {ROUNDS} requests were served with what was made for another request")
    return wrong == 0


r.run_case(os.path.join(FOLDER, "record.txt"), os.environ.get("TROUBLE", "1") != "0", case)
