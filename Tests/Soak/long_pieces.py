"""A fake backend server whose streams have long pieces, with both line ends, and whose confidence varies."""

from spoilt_server import SpoiltReplica

LONG_PIECE_BYTES = 9_000


class LongPieces(SpoiltReplica):
    @staticmethod
    def event_of(request, number):
        filling = "x" * LONG_PIECE_BYTES if number % 3 == 0 else ""
        end = "\r\n" if number % 4 == 1 else "\n"
        return f"id: {number}{end}data: {request} piece {number} {filling}{end}{end}".encode()

    def stream_head(self, *arguments, **more):
        self.confidence = self.random.choice([10, 100])
        return super().stream_head(*arguments, **more)
