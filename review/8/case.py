"""An asked discovery is down for 20 s. When it answers again, each dispatcher has to know of a drain 6 s later at the
latest, and may send to the draining endpoint for 2 s more."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import (BALANCE_UPDATE, BROKEN, HELD, Agent, Client, CouldNotRun, Dispatcher, Endpoint, deliver, main,
                      read_message, response, settings)

DISPATCHERS = 40
OUTAGE_S = 20.0
TOLD_AT_THE_LATEST_S = 6.0
GRACE_S = 2.0
SLACK_S = 0.05
AFTERWARDS_S = 18.0
STATUS_UPDATE = {**BALANCE_UPDATE, "name": "status-update", "gain": 1.0}


class Discovery(Agent):
    """One discovery service that all dispatchers ask. While it is down, calls end with 503 and watches end."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.down, self.watchers = False, set()

    def go_down(self):
        self.down = True
        self.record.add("discovery: down; watches end")
        for writer in list(self.watchers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first_line, _, body = message
                if first_line.startswith("POST /status"):
                    self.take_notices(body)
                    writer.write(response(204))
                elif self.down:
                    self.record.add("discovery: 503")
                    writer.write(response(503))
                else:
                    self.watchers.add(writer)
                    await self.watch(writer)
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


async def play(test):
    discovery = Discovery(test.record, "discovery", test.network.host())
    await discovery.start()
    endpoints = [Endpoint(test.record, name, test.network.host(), 1, deliver) for name in ("e1", "e2")]
    for endpoint in endpoints:
        await endpoint.start()
        await discovery.change(**endpoint.entry(rate=400.0))
    drained, stays = endpoints
    grades = settings(DISPATCHERS, [STATUS_UPDATE])
    grades["discovery"] = "subscribe"
    grades["safety"]["stop_sending_within"] = GRACE_S
    dispatchers = [Dispatcher(test, f"n{i}", discovery, discovery.whole(), settings=grades) for i in range(DISPATCHERS)]
    await asyncio.gather(*(dispatcher.start() for dispatcher in dispatchers))
    stopping = False

    async def hand_in(dispatcher):
        client = Client(test, dispatcher)
        while not stopping:
            await client.submit("status-update", 1, 20000)
            await asyncio.sleep(0.3)

    clients = [asyncio.ensure_future(hand_in(dispatcher)) for dispatcher in dispatchers]
    # Each dispatcher opens its watch within eight tenths of must_ask_in, 10 s.
    for _ in range(120):
        if len(discovery.watchers) == DISPATCHERS:
            break
        await asyncio.sleep(0.1)
    else:
        raise CouldNotRun("not all dispatchers watch the list")
    await asyncio.sleep(1.0)
    if test.trouble:
        discovery.go_down()
    await asyncio.sleep(OUTAGE_S)
    told_before = len(discovery.told)
    discovery.down = False
    await discovery.change(**drained.entry("draining", rate=400.0))
    reachable_at = test.record.now()
    test.record.add("discovery: answers again")
    await asyncio.sleep(AFTERWARDS_S)
    stopping = True
    await asyncio.gather(*clients)
    asked = sorted(round(at - reachable_at, 2) for at, _ in discovery.told[told_before:])
    test.say(f"written to dispatchers so many seconds after it was reachable: {asked}")
    if not drained.calls or max(call["first_byte_at"] for call in drained.calls) < reachable_at - 5.0:
        raise CouldNotRun("the endpoint got no calls before it drained")
    last = reachable_at + TOLD_AT_THE_LATEST_S + GRACE_S + SLACK_S
    late = [call for call in drained.calls if call["first_byte_at"] > last]
    for call in late:
        test.record.add(f"late: {call['ids']} at {call['first_byte_at']:.3f}")
    test.say(f"{len(late)} of {len(drained.calls) + len(stays.calls)} calls went to the draining endpoint more than "
             f"{TOLD_AT_THE_LATEST_S + GRACE_S + SLACK_S} s after discovery was reachable")
    return BROKEN if late else HELD


main(play, HERE)
