"""A dispatcher is killed. While it is dead its agent is told that an endpoint drains; then discovery is down for 8 s and
the agent is silent. What the agent has counts as told from the first moment of the new process."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import (BALANCE_UPDATE, BROKEN, CHARGE_POST, HELD, Agent, Client, CouldNotRun, Dispatcher, Endpoint,
                      deliver, main, settings)

DEAD_S = 2.0
OUTAGE_S = 8.0
GRACE_S = 1.0
SLACK_S = 0.05


async def play(test):
    agent = Agent(test.record, "of n1", test.network.host())
    await agent.start()
    endpoints = [Endpoint(test.record, name, test.network.host(), 1, deliver) for name in ("e1", "e2")]
    for endpoint in endpoints:
        await endpoint.start()
        await agent.change(**endpoint.entry())
    known = agent.whole()
    dispatcher = Dispatcher(test, "n1", agent, known, settings=settings(2, [CHARGE_POST, BALANCE_UPDATE]))
    await dispatcher.start()
    client = Client(test, dispatcher)

    async def hand_in(seconds):
        until = test.record.now() + seconds
        while test.record.now() < until:
            await client.submit("balance-update", 1, 20000)
            await asyncio.sleep(0.1)

    await hand_in(3.0)
    drained = max(endpoints, key=lambda endpoint: len(endpoint.calls))
    if not drained.calls:
        raise CouldNotRun("no endpoint got a call")
    # `known` in the configuration stays the list that the dispatcher had last.
    await dispatcher.kill()
    await asyncio.sleep(DEAD_S / 2)
    await agent.change(**drained.entry("draining"))
    if test.trouble:
        await agent.set_silent(True)
    await asyncio.sleep(DEAD_S / 2)
    started_at = test.record.now()
    await dispatcher.start()
    ready_at = test.record.now()
    await hand_in(OUTAGE_S - (test.record.now() - started_at) - DEAD_S / 2)
    await agent.set_silent(False)
    await hand_in(3.0)
    # Counted from readiness, which is later than the first moment of the process.
    last = ready_at + GRACE_S + SLACK_S
    late = [call for call in drained.calls if call["first_byte_at"] > last]
    for call in late:
        test.record.add(f"late: {call['ids']} at {call['first_byte_at']:.3f}")
    test.say(f"{len(late)} calls went to the draining endpoint more than {GRACE_S + SLACK_S} s after the restart, the last "
             f"one {max((call['first_byte_at'] for call in drained.calls), default=0) - ready_at:.2f} s after it")
    return BROKEN if late else HELD


main(play, HERE)
