"""Ports for the entries and the fakes of a test, which no test process beside it uses."""

import itertools
import socket

# Below the ports that the system gives to outgoing connections and to other listeners.
FIRST_PORT = 12_000
BLOCK_SIZE = 500
BLOCK_COUNT = 40


class PortBlock:
    """A range of ports that this process alone takes from, among the processes that use this class."""

    def __init__(self):
        # The system drops the name of an abstract socket when the process ends, however it ends.
        self.claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.first = self._claim_block()
        self.order = itertools.cycle(range(self.first, self.first + BLOCK_SIZE))

    def _claim_block(self):
        for block in range(BLOCK_COUNT):
            try:
                self.claim.bind(f"\0fennelline-test-ports-{block}")
                return FIRST_PORT + block * BLOCK_SIZE
            except OSError:
                continue
        raise RuntimeError(f"all {BLOCK_COUNT} blocks of ports are in use")

    def take(self):
        """A port that nothing uses on any address of this machine.

        A port is given out again only after all others of the block.
        """
        for port in itertools.islice(self.order, BLOCK_SIZE):
            if is_unused(port):
                return port
        raise RuntimeError(f"no port from {self.first} on is unused")


def is_unused(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


_block = None


def free_port():
    """A port of this process's block; the block is claimed with the first one."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.take()


# Open until the process ends.
_reservations = []


def reserve_port(host):
    """A port of this host that the system gives to nobody else, also while no socket listens there.

    Listeners need SO_REUSEADDR, which asyncio sets.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((host, 0))
    _reservations.append(reservation)
    return reservation.getsockname()[1]
