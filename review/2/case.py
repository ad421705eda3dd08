"""An insert that begins with WITH, while the process of its engine dies. See claim.txt."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig as r  # noqa: E402

STATEMENT = (
    "WITH fresh AS (SELECT id, name FROM members_7.inbox) "
    "INSERT INTO members SELECT id, name FROM fresh"
)
# The same rows in the other spelling: it shows that the coordinator keeps the rule for statements that it takes for writes.
CONTROL = (
    "INSERT INTO members WITH fresh AS (SELECT id, name FROM members_7.inbox) "
    "SELECT id, name FROM fresh"
)
# As deploy/appliance.kdl, which is the example of a small site.
CONFIG = """
listen "127.0.0.1:{port}"
front "clickhouse"
engines {{
    engine "engine-1" at="127.0.0.1:{engines[0]}" building="main" kind="std-8"
    engine "engine-2" at="127.0.0.1:{engines[1]}" building="main" kind="std-8"
    engine "engine-3" at="127.0.0.1:{engines[2]}" building="main" kind="std-8"
}}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "report" wanted="1.5 s" patience="15 s" worth=10 threads=2
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true in-order=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"""


def lines(path):
    with open(path, encoding="utf-8") as f:
        return f.read().splitlines()


def play(rig, name, statement):
    """Runs the statement once on three new engines; the engine that commits it dies. Returns how often it was committed."""
    port, ports = r.free_port(), [r.free_port() for _ in range(3)]
    store, log = rig.write(f"{name}.store", ""), rig.write(f"{name}.seen", "")
    engines = {}
    for number, engine_port in enumerate(ports, 1):
        command = [sys.executable, os.path.join(FOLDER, "engine.py"), f"engine-{number}", str(engine_port), store, log]
        engines[f"engine-{number}"] = rig.start(f"{name}-engine-{number}", command)
    for engine_port in ports:
        rig.wait_for("engine", lambda p=engine_port: answers(p))
    config = rig.write(f"{name}.kdl", CONFIG.format(port=port, engines=ports))
    rig.start_coordinator(f"{name}-coordinator", config)
    rig.wait_until_alive(port)
    client = r.socket.create_connection(("127.0.0.1", port), timeout=30)
    rig.note(name, f"client sends: {statement}")
    client.sendall(r.request_bytes("POST", f"/?query_id={name}", {}, statement.encode()))
    committed = lambda: [line.split()[0] for line in lines(log) if " committed " in line]
    first = rig.wait_for("commit", committed)[0]
    if rig.trouble:
        engines[first].kill()
        rig.note(name, f"the process of {first} is killed, after its commit and before its answer")
    answer = r.read_answer(client.makefile("rb"))
    rig.note(name, f"client gets: {answer}")
    r.time.sleep(1.5)
    for line in lines(log):
        rig.note(name, line)
    count = len(lines(store))
    rig.note(name, f"the rows of the statement are in the table {count} time(s)")
    return count


def answers(port):
    try:
        return r.http(port, "GET", "/ping", {}, b"", 1.0).status == 200
    except OSError:
        return False


def case(rig):
    control = play(rig, "control", CONTROL)
    if control != 1:
        raise r.NotRun(f"the control statement was committed {control} times")
    return play(rig, "insert", STATEMENT) <= 1


r.run_case(os.path.join(FOLDER, "record.txt"), os.environ.get("TROUBLE", "1") != "0", case)
