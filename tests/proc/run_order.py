"""Order of the events in a text or stream to which several runs contributed.

The replicas of a Kit with names_runs=True put the run's serial number and its Last-Event-Id into the text of each
event. `problems` checks a text made of such events: every number comes once and in order, and where the run changes,
the new run was asked with exactly the number of the last event before it.
"""
import collections
import re

Piece = collections.namedtuple("Piece", "request event serial after")  # after: Last-Event-Id of the run, 0 if none

PIECE = re.compile(r"^(\S+)-(\d+) run=(\d+) after=(\d+)$")
EVENT = re.compile(r"id: (\d+)\ndata: ([^\n]*)\n\n")


def event_text(request, event, serial, after):
    return "%s-%05d run=%05d after=%05d" % (request, event, serial, after)


def parse(text):
    """The Piece that event_text made; None if the text is no such piece."""
    m = PIECE.match(text)
    return m and Piece(m.group(1), int(m.group(2)), int(m.group(3)), int(m.group(4)))


def pieces_of_text(text):
    """Texts of the events of an item's output."""
    return text.split("\n") if text else []


def pieces_of_stream(body):
    """(texts, problems) of an event stream; `problems` names bytes that are no event and ids that differ from the text."""
    texts, found, end = [], [], 0
    for m in EVENT.finditer(body):
        if m.start() != end:
            found.append("no event: %r" % body[end:m.start()][:80])
        end = m.end()
        piece = parse(m.group(2))
        if piece and piece.event != int(m.group(1)):
            found.append("id %s at event %d" % (m.group(1), piece.event))
        texts.append(m.group(2))
    if end != len(body):
        found.append("no event: %r" % body[end:][:80])
    return texts, found


def problems(request, texts, runs=None, after=0, events=None):
    """What breaks the order in the texts of successive events, the first of which follows event `after`; [] if nothing.

    runs: of the kit; each piece must be of a run that it holds. events: number of the last event that must be there.
    """
    found = []
    last = None
    for i, text in enumerate(texts):
        want = after + i + 1
        p = parse(text)
        if not p:
            found.append("event %d is no piece of a run: %r" % (want, text[:80]))
            continue
        if p.request != request:
            found.append("event %d is of request %s" % (want, p.request))
        if p.event != want:
            found.append("event %d stands where event %d belongs" % (p.event, want))
        if (last is None or p.serial != last.serial) and p.after != want - 1:
            found.append("run %d, asked with Last-Event-Id %d, goes on after event %d" % (p.serial, p.after, want - 1))
        if runs is not None and not any(r["serial"] == p.serial and r["id"] == p.request and r["after"] == p.after
                                        for r in runs):
            found.append("event %d is of an unknown run %d" % (want, p.serial))
        last = p
    if events is not None and after + len(texts) != events:
        found.append("%d events instead of %d" % (after + len(texts), events))
    return found


def text_problems(request, text, runs=None, events=None):
    """What breaks the order in an item's output."""
    return problems(request, pieces_of_text(text), runs, 0, events)


def last_event(body, after=0):
    """Number of the last whole event in the body of a stream that began after event `after`."""
    ids = [int(m.group(1)) for m in EVENT.finditer(body)]
    return ids[-1] if ids else after


def stream_problems(request, body, runs=None, after=0, events=None):
    """What breaks the order in the body of a stream that began after event `after`."""
    texts, found = pieces_of_stream(body)
    return found + problems(request, texts, runs, after, events)
