"""Bad clients: each sends hundreds of commands at once, at full speed, reads whatever is sent to
it, and does the same again once it is turned away.

Arguments: address, number of the first client, number of clients, commands at once, seconds.
"""

import socket
import sys
import threading
import time

BODY = b"b" * (64 * 1024)  # "a value holds 64 KiB at most"


def command(number, index):
    fields = b"c=terbit-tiket,t=utama,d=3000,units=1,spread=1,first=0"
    words = [b"SVC.SUBMIT", b"%016x" % (1000 + number), b"b%d-%d" % (number, index), fields, BODY]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_all(connection):
    try:
        while connection.recv(65536):
            pass
    except OSError:
        pass


def client(address, number, at_once, ends):
    index = 0
    while time.monotonic() < ends:
        try:
            with socket.create_connection(address, timeout=6) as connection:
                reading = threading.Thread(target=read_all, args=[connection], daemon=True)
                reading.start()
                for _ in range(at_once):
                    index += 1
                    connection.sendall(command(number, index))
                reading.join(6)
        except OSError:
            pass
        time.sleep(0.2)


def main():
    host, port = sys.argv[1].rsplit(":", 1)
    first, count, at_once = (int(text) for text in sys.argv[2:5])
    ends = time.monotonic() + float(sys.argv[5])
    for number in range(first, first + count):
        threading.Thread(target=client, args=[(host, int(port)), number, at_once, ends],
                         daemon=True).start()
    time.sleep(float(sys.argv[5]))


main()
