"""Three dispatchers are one fleet. While discovery is down, the holder of the duty `lists` is killed. When discovery is
back, the other two go on with their old lists."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import (BALANCE_UPDATE, BROKEN, CHARGE_POST, HELD, Agent, Client, CouldNotRun, Dispatcher, Endpoint,
                      deliver, fleet_file, fleet_status, found_fleet, main, settings)

DISPATCHERS = 3
GRACE_S = 1.0
SLACK_S = 0.05


async def lists_holder(dispatchers):
    """The name of the member that holds the duty `lists`, as the first member that answers tells."""
    for dispatcher in dispatchers:
        status = await fleet_status(dispatcher.config["control"])
        for duty in (status or {}).get("part", {}).get("duties", []):
            if duty["name"] == "lists" and duty["holder"]:
                return duty["holder"]
    return None


async def play(test):
    endpoints = [Endpoint(test.record, name, test.network.host(), 1, deliver) for name in ("e1", "e2")]
    for endpoint in endpoints:
        await endpoint.start()
    agents, dispatchers = [], []
    path = fleet_file(test, [(f"n{i}", test.network.free_address()) for i in range(DISPATCHERS)], disk_mb=1)
    for i in range(DISPATCHERS):
        agent = Agent(test.record, f"of n{i}", test.network.host())
        await agent.start()
        for endpoint in endpoints:
            await agent.change(**endpoint.entry())
        dispatcher = Dispatcher(test, f"n{i}", agent, agent.whole(), control=test.network.free_address(),
                                settings=settings(DISPATCHERS, [CHARGE_POST, BALANCE_UPDATE]))
        dispatcher.environment["FAWNSPOKE_FLEET"] = path
        agents.append(agent)
        dispatchers.append(dispatcher)
    await found_fleet(test, path, dispatchers[0])
    for dispatcher in dispatchers:
        await dispatcher.start()
    for _ in range(150):
        seen = [await fleet_status(dispatcher.config["control"]) for dispatcher in dispatchers]
        if all(s and s["member"] and sum(m["voter"] for m in s["members"]) == DISPATCHERS for s in seen):
            break
        await asyncio.sleep(0.1)
    else:
        raise CouldNotRun("the three did not become a fleet of three voters")
    stopping = False

    async def hand_in(dispatcher):
        client = Client(test, dispatcher)
        while not stopping:
            await client.submit("balance-update", 1, 20000)
            await asyncio.sleep(0.07)

    clients = [asyncio.ensure_future(hand_in(dispatcher)) for dispatcher in dispatchers]
    await asyncio.sleep(3.0)
    for agent in agents:
        await agent.set_silent(True)
    silent_at, holder = test.record.now(), None
    while holder is None:
        if test.record.now() > silent_at + 20.0:
            raise CouldNotRun("nobody was given the duty `lists`")
        holder = await lists_holder(dispatchers)
        await asyncio.sleep(0.05)
    test.record.add(f"fleet: {holder} holds the duty lists")
    dead = next(i for i in range(DISPATCHERS) if dispatchers[i].name == holder)
    others = [i for i in range(DISPATCHERS) if i != dead]
    # The others have asked in vain, and ask every hold_most_s from now on.
    while not all(agents[i].abandoned_at for i in others):
        if test.record.now() > silent_at + 30.0:
            raise CouldNotRun("not all dispatchers asked while discovery was down")
        await asyncio.sleep(0.01)
    if test.trouble:
        await dispatchers[dead].kill()
    await asyncio.sleep(0.5)
    drained = max(endpoints, key=lambda endpoint: len(endpoint.calls))
    for agent in agents:
        await agent.change(**drained.entry("draining"))
    for agent in agents:
        await agent.set_silent(False)
    back_at = test.record.now()
    await asyncio.sleep(5.0)
    stopping = True
    await asyncio.gather(*clients)
    last = back_at + GRACE_S + SLACK_S
    late = [call for call in drained.calls if call["first_byte_at"] > last]
    for call in late:
        test.record.add(f"late: {call['ids']} at {call['first_byte_at']:.3f}")
    test.say(f"discovery was down for {back_at - silent_at:.1f} s; {len(late)} calls went to the draining endpoint more than "
             f"{GRACE_S + SLACK_S} s after it was back, the last one "
             f"{max(call['first_byte_at'] for call in drained.calls) - back_at:.2f} s after it")
    return BROKEN if late else HELD


main(play, HERE)
