"""A worker drains while streams run on it; one of its 100 answers before had an extra, late copy."""

import json
import os
import sys
import threading
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))
import harness as h  # noqa: E402

KEY = "key-of-riders-1"
SHORT_CALLS = 100
LONG_CALLS = 6
COPY_S = 0.3
SIZES = {"X-Model": "*", "X-Token-Usage": "6600,700", "X-Prompt-Prefix": "5c1e07a2:6000,91bd3f06:600"}


class Queue:
    """Lets those that enter in one at a time, in the order in which they came."""

    def __init__(self):
        self.turn = threading.Condition()
        self.next_ticket = self.served = 0

    def __enter__(self):
        with self.turn:
            ticket = self.next_ticket
            self.next_ticket += 1
            self.turn.wait_for(lambda: self.served == ticket)

    def __exit__(self, *_):
        with self.turn:
            self.served += 1
            self.turn.notify_all()


class MovingWorker(h.ModelWorker):
    """A model worker whose runs can be moved to `peer`. Speaks `POST /v1/kv-move`, `Kv-From` and
    `DELETE /v1/kv-handle/ID` as the pages say."""

    def __init__(self, *args, room=64, **more):
        self.peer = None
        self.copies = {}  # Handle: (id of the request whose memory it is, events made).
        self.room = room  # Copies and runs that fit into its memory beside what runs.
        self.progress = {}  # Id of a run: events made.
        self.stopped = set()
        self.extra_for = None  # Connection on which a late extra answer is due, and its bytes.
        self.moves = Queue()  # Transfers run one after another.
        self.mixed = []
        super().__init__(*args, **more)

    def answer(self, request):
        connection = request.connection
        if self.extra_for and self.extra_for[0] is connection:
            # The extra answer comes where the next one is expected.
            self.record.say(f"worker {self.id}: late extra copy of the answer to {self.extra_for[1]}, on the connection "
                            f"of {request.command} {request.path}")
            text, self.extra_for = self.extra_for[2], None
            request.wfile.write(text)
            request.wfile.flush()
        if request.path == "/v1/kv-move":
            self.move(request)
        elif request.path.startswith("/v1/kv-handle/"):
            self.reply(request, 200, b"{}", {})
        else:
            super().answer(request)

    def move(self, request):
        order = json.loads(request.rfile.read(int(request.headers["Content-Length"])))
        call_id, peer = order["id"], self.peer
        self.record.say(f"worker {self.id}: kv-move of {call_id}, last {order.get('last', False)}")
        if call_id not in self.progress:
            self.reply(request, 404, b"{}", {"Content-Type": "application/json"})
            return
        if order.get("last"):
            self.stopped.add(call_id)
        with self.moves:
            known = [handle for handle, copy in peer.copies.items() if copy[0] == call_id]
            if not known and len(peer.copies) >= peer.room:
                answer = {}
                if order.get("last"):
                    # The source keeps the memory, and the run may go on there.
                    answer = {"handle": f"at-{call_id}", "made": self.progress.get(call_id, 0)}
                    self.copies[answer["handle"]] = (call_id, answer["made"])
                self.record.say(f"worker {self.id}: no room for {call_id} at {peer.id}: 503 {answer}")
                self.reply(request, 503, json.dumps(answer).encode(), {"Content-Type": "application/json"})
                return
            time.sleep(COPY_S)
            handle = known[0] if known else "h" + uuid.uuid4().hex[:8]
            made = self.progress.get(call_id, 0)
            peer.copies[handle] = (call_id, made)
        self.record.say(f"worker {self.id}: {call_id} is copied as {handle}")
        self.reply(request, 200, json.dumps({"handle": handle, "made": made}).encode(),
                   {"Content-Type": "application/json"})

    def run(self, request, call_id, body):
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        source, owner = request.headers.get("Kv-From"), call_id
        if source:
            copy = self.copies.pop(source.split("/", 1)[1], None)
            if copy is None:
                self.reply(request, 503, b"", {"X-Request-Id": call_id, "X-Not-Executed": "1"})
                return
            self.record.say(f"worker {self.id}: {call_id} goes on after event {first - 1} from the memory of {copy[0]} ({source})")
            owner = copy[0]  # What it generates follows from the memory that it goes on from.
            if copy[0] != call_id:
                self.mixed.append((call_id, copy[0]))
        events, gap = (120, float(request.headers["X-Gap"])) if "X-Gap" in request.headers else (3, 0.002)
        self.record.write(f"worker {self.id}: runs {call_id} from event {first}")
        head = "".join(f"{name}: {value}\r\n" for name, value in {
            "X-Request-Id": call_id, "X-Response-Seal": f"seal.{call_id}", "X-Confidence": "100",
            "Content-Type": "text/event-stream", "X-Server-Load": f"{self.running},0,{self.slots}",
            "Transfer-Encoding": "chunked"}.items())
        pieces = [f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()]
        try:
            request.wfile.write(pieces[0])
            request.wfile.flush()
            for number in range(first, events + 1):
                time.sleep(gap)
                if call_id in self.stopped:
                    raise ConnectionAbortedError  # A stopped run's stream is closed without its end.
                event = f"id: {number}\ndata: {owner}\n\n".encode()
                piece = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                pieces.append(piece)
                request.wfile.write(piece)
                request.wfile.flush()
                self.progress[call_id] = number
            pieces.append(b"0\r\n\r\n")
            request.wfile.write(pieces[-1])
            request.wfile.flush()
            self.last_answer = (request.connection, call_id, b"".join(pieces))
        except OSError:
            request.close_connection = True
        finally:
            self.progress.pop(call_id, None)


def stream(platform, record, front, name, headers, results):
    """A client that reads a stream to its end."""
    call_id = uuid.uuid4().hex[:16]
    record.write(f"client: {name} is {call_id}")
    headers = {"Host": "shop.example", "X-Request-Id": call_id, "X-Deadline-Ms": "20000",
               "Authorization": f"Bearer {KEY}", **SIZES, **headers}
    status, _, body = h.call(f"{front.ip}:{platform.front_port}", "POST", "/answers/1", headers, b"x" * 600, 20)
    record.write(f"client: {name} got {status or 'no complete answer'}, {body.count(b'id: ')} events")
    foreign = body.count(b"data: ") - body.count(f"data: {call_id}".encode())
    if foreign:
        record.say(f"client: {name}, request {call_id}, got {foreign} events of another request's answer")
    results[name] = (call_id, status)


def main():
    record = h.Record(HERE)
    # The contracts of the site that the claim names.
    h.Platform.contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream",
                            "tenants", "places", "pressure", "rollout"]
    platform = h.Platform(record)
    source = target = None
    threads, results = [], {}

    def start(name, headers):
        thread = threading.Thread(target=stream, args=(platform, record, front, name, headers, results), daemon=True)
        thread.start()
        threads.append(thread)

    try:
        places = [(0, 1), (0, 2), (1, 1), (1, 2), (2, 1)]
        platform.seeds = [f"{platform.net}.{z + 1}.{n}:{platform.control_port}" for z, n in (places[0], places[2], places[4])]
        for z, n in places:
            platform.add("keeper", f"core-{z}-{n}", z, n, founding=True)
        front = platform.add("entry", "front-0", 0, 11)
        operator = h.Operator(platform, record)
        route = {**h.model_route("answers", "/answers/", "assistant"), "timeoutMs": 20000}
        if not operator.put(h.config(1, [route], [h.model_service("assistant")], [{"name": "riders", "apiKeys": [KEY]}])):
            return 2
        source = MovingWorker(platform, record, "assistant", f"{platform.net}.1.15", platform.zones[0], slots=64)
        time.sleep(max(0.0, 10 - h.now()))
        for number in range(LONG_CALLS):
            start(f"long-{number}", {"X-Gap": "0.07", "X-Length-Hint": "700"})
            time.sleep(0.111)
        for number in range(SHORT_CALLS):
            stream(platform, record, front, f"short-{number}", {}, results)
        served = sum(1 for name, (_, status) in results.items() if status == 200)
        record.say(f"{served} of {SHORT_CALLS} short streams were served by worker {source.id}")
        if served < SHORT_CALLS * 0.9:
            return 2
        if h.has_trouble():
            source.extra_for = source.last_answer
        # A second worker, whose memory has room for two more runs.
        target = MovingWorker(platform, record, "assistant", f"{platform.net}.1.16", platform.zones[0], slots=64, room=2)
        source.peer = target
        time.sleep(0.5)
        source.state = "draining"
        is_acked, _ = source.beat_once()
        record.say(f"worker {source.id}: drains, acknowledged: {is_acked}")
        # It goes on serving for drainMs and a little longer, then it deregisters.
        time.sleep(platform.bounds["drainMs"] / 1000 + 1.5)
        source.is_closing = True
        h.control_call(platform, "POST", f"/v1/instances/{source.id}/deregister", json.dumps({"born": source.born}))
        for thread in threads:
            thread.join(20)
        record.say(f"the long streams ended with {[results[name][1] for name in sorted(results) if name.startswith('long')]}")
        mixed = source.mixed + target.mixed
        for call_id, other in mixed:
            record.say(f"MIXED: request {call_id} went on from the memory of request {other}")
        if not mixed:
            record.say("the rule held")
        return 1 if mixed else 0
    finally:
        for worker in (source, target):
            if worker:
                worker.close()
        platform.close()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # A fault of the case, not of the system.
        print(f"the case failed: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
