"""A backend server as a process of its own, which the test can kill.

It registers nothing; the test does. It answers before it has read a long body, and reads on later. Its
answer has neither a length nor chunks and ends with its channel. Usage: replica.py ID. Prints its
port, then a line for each request that begins and for each that it has answered whole.
"""

import socket
import sys
import threading
import time

EVENTS = 10
PACE_S = 0.1


def event(request, number):
    return f"id: {number}\ndata: {request} piece {number} of {EVENTS}\n\n".encode()


def read_head(channel):
    """Reads the head and nothing of the body."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = channel.recv(1)
        if not byte:
            return None
        head += byte
    return head.decode("latin-1").split("\r\n")


def serve(channel):
    head = read_head(channel)
    if head is None:
        channel.close()
        return
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    request = headers.get("fennelline-request-id", "")
    if headers.get("fennelline-expect-replica") != sys.argv[1]:
        channel.sendall(f"HTTP/1.1 421 Misdirected Request\r\nFennelline-Request-Id: {request}\r\n"
                        f"Fennelline-Replica-Id: {sys.argv[1]}\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n".encode())
        channel.close()
        return
    print(f"runs {request}", flush=True)
    kind = "text/event-stream" if "/stream/" in head[0] else "text/plain"
    channel.sendall(f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n"
                    f"Fennelline-Request-Id: {request}\r\n"
                    f"Fennelline-Response-Seal: seal-{sys.argv[1]}\r\n\r\n".encode())
    for number in range(1, EVENTS + 1):
        channel.sendall(event(request, number))
        time.sleep(PACE_S)
    left = int(headers.get("content-length", "0"))
    while left > 0:
        data = channel.recv(min(left, 65536))
        if not data:
            return
        left -= len(data)
    print(f"answered {request}", flush=True)
    channel.close()


def main():
    listener = socket.socket()
    # Windows are small, see DEPLOY.md, and segments as on a network.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    print(listener.getsockname()[1], flush=True)
    while True:
        channel, _ = listener.accept()
        threading.Thread(target=serve, args=(channel,), daemon=True).start()


main()
