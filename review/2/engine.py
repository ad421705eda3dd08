"""A small stand-in for a ClickHouse server, whose answers may come twice.

The result of a statement names the statement, so that a client can tell for which one it was made. With COPIES=1 a good answer
is followed by a second copy of it, LATE_S later, on the same connection ("a second answer may come some milliseconds late").
This happens to one answer of the whole run, the third; all others come once.

usage: engine.py PORT COPIES LOG
"""
import socket
import sys
import threading
import time
import urllib.parse

PORT, COPIES, LOG = int(sys.argv[1]), sys.argv[2] == "1", sys.argv[3]
WORK_S, LATE_S = 0.02, 0.008
LOCK = threading.Lock()
COUNT = [0]


def note(text):
    with LOCK, open(LOG, "a", encoding="utf-8") as f:
        f.write(text + "\n")


def answer_bytes(query_id, body):
    head = f"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: {query_id}\r\nX-ClickHouse-Format: TabSeparated\r\n"
    head += f"Content-Type: text/tab-separated-values; charset=UTF-8\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def serve(stream):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    lines, writing = stream.makefile("rb"), threading.Lock()

    def send(data):
        with writing:
            try:
                stream.sendall(data)
            except OSError:
                pass

    try:
        while line := lines.readline():
            length = 0
            while (field := lines.readline()) not in (b"\r\n", b""):
                name, _, value = field.decode().partition(":")
                length = int(value) if name.lower() == "content-length" else length
            statement = lines.read(length).decode()
            query = urllib.parse.parse_qs(urllib.parse.urlsplit(line.decode().split()[1]).query)
            query_id = query.get("query_id", [""])[0]
            if not query_id:
                send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n")
                continue
            time.sleep(WORK_S)
            with LOCK:
                COUNT[0] += 1
                is_copied = COPIES and COUNT[0] == 3
            answer = answer_bytes(query_id, f"made for\t{statement}\n".encode())
            send(answer)
            note(f"answered {query_id}: {statement}{', and again 8 ms later' if is_copied else ''}")
            if is_copied:
                threading.Timer(LATE_S, send, (answer,)).start()
    except OSError:
        pass
    stream.close()


server = socket.create_server(("127.0.0.1", PORT), backlog=128)
while True:
    connection, _ = server.accept()
    threading.Thread(target=serve, args=(connection,), daemon=True).start()
