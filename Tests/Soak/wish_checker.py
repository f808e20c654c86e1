"""Checks of what servers say in their answers, for the soak: that they leave, or want to be left alone."""

import bisect
import collections
import time

# An entry that has passed on an answer which says that the server leaves sends it nothing that a
# caller sends later than this.
DRAIN_S = 2.0
# A rejection with Retry-After binds the entry from this long after it until the wait has ended,
# except for so many requests.
NOTICE_S = 0.5
MOST_IN_WAIT = 2
TOLERANCE_S = 0.5

Sender = collections.namedtuple("Sender", "entry start")


class WishChecker:
    """Knows which process of which entry sent a request to which server, from the entries' logs.

    A process that has restarted need not know what it was told before. Requests whose attempt is not
    in the logs, or in those of several entries, are left out.
    """

    def __init__(self):
        self.sent = {}
        self.paused = collections.defaultdict(list)
        self.disturbed = collections.defaultdict(list)
        # When servers restarted; what they wanted before no longer binds anyone.
        self.restarted = collections.defaultdict(list)
        self.checked = collections.Counter()
        # From the clock of the log lines to the monotonic one.
        self.offset_s = time.time() - time.monotonic()
        self.starts = {}
        self.attempts = {}

    def note_sent(self, request, entry):
        self.sent[request] = (entry.name, time.monotonic())

    def has_just_started(self, request, server, at, within_s):
        """Whether the entry that sent the request to the server had just started."""
        sender = self.sender(request, server, at)
        return (sender is not None and sender.start > 0
                and at - self.starts[sender.entry][sender.start - 1] < within_s)

    def read_logs(self, entries):
        for entry in entries:
            lines = entry.lines()
            self.starts[entry.name] = [line["at"] / 1000 - self.offset_s for line in lines
                                       if line["event"] == "start"]
            for line in lines:
                if line["event"] == "attempt":
                    key = (line["id"], line["backend"])
                    self.attempts.setdefault(key, set()).add(entry.name)

    def process_of(self, entry, at):
        return Sender(entry, bisect.bisect(self.starts[entry], at))

    def sender(self, request, server, at):
        names = self.attempts.get((request, server.name), ())
        return self.process_of(next(iter(names)), at) if len(names) == 1 else None

    def violations(self, servers, answers):
        """answers: the answer of each request; yields a rule, a request and a detail."""
        for server in servers:
            arrivals = [(self.sender(seen["id"], server, seen["at"]), seen)
                        for seen in server.runs + server.refused]
            yield from self._sent_after_leaving(server, answers, arrivals)
            yield from self._sent_within_wait(server, arrivals)

    def _sent_after_leaving(self, server, answers, arrivals):
        passed_on = {}
        for request, answer in answers.items():
            if request not in self.sent or answer.status == 0:
                continue
            is_from = answer.headers.get("fennelline-response-seal") == f"seal-{server.name}"
            if not is_from or "server-leaving" not in answer.headers:
                continue
            entry, sent_at = self.sent[request]
            at = sent_at + answer.took_s
            sender = self.sender(request, server, at)
            if sender and sender.entry == entry:
                passed_on[sender] = min(at, passed_on.get(sender, at))
        for sender, seen in arrivals:
            if sender not in passed_on or seen["id"] not in self.sent:
                continue
            self.checked["after-leaving"] += 1
            late_s = self.sent[seen["id"]][1] - passed_on[sender]
            if late_s > DRAIN_S + TOLERANCE_S:
                yield "DRAIN", seen["id"], (f"sent {late_s:.2f} s after {sender.entry} had passed on that "
                                            f"{server.name} leaves")

    def _sent_within_wait(self, server, arrivals):
        for sender, refusal in arrivals:
            wait_s = refusal.get("wait")
            if not sender or not wait_s or self._is_unheard(server, sender.entry, refusal["at"]):
                continue
            self.checked["waits"] += 1
            begin, end = refusal["at"] + NOTICE_S, refusal["at"] + wait_s
            end = min([end] + [at for at in self.restarted[server.name] if at > refusal["at"]])
            late = [seen for other, seen in arrivals if other == sender and begin < seen["at"] < end]
            if len(late) > MOST_IN_WAIT:
                yield "BUDGET", refusal["id"], (f"{server.name} wanted to be left alone for {wait_s:.1f} s; "
                                                f"{sender.entry} sent it {len(late)} requests")

    def _is_unheard(self, server, entry, at):
        """Whether the rejection may not have reached the entry in time."""
        return any(begin - NOTICE_S < at < end + NOTICE_S
                   for begin, end in self.paused[entry] + self.disturbed[server.name])
