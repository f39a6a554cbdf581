"""The answers of one destination of five never end for 16 s: one interim response follows the other. All messages that
were taken on have to get their final answer in time, those for the other destinations too."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(HERE, "..", "standins-2")
sys.path.insert(0, STANDINS)
from standins import (BALANCE_UPDATE, BROKEN, CHARGE_POST, HELD, Agent, Client, CouldNotRun, Dispatcher, Endpoint,
                      deliver, main, settings)

SOUND_DESTINATIONS = 4
SPOILT_SHARE = 0.27
MESSAGES_PER_S = 14.0
DEADLINE_S = 2.0
QUIET_S = 3.0
SPOILT_S = 16.0
# Protocol page: 0.3 s. Standing test: half a second. The later one is taken.
ANSWER_GRACE_S = 0.5
SLACK_S = 0.05
# A stand-in that is late itself must not be taken for a late dispatcher.
STANDIN_LAG_S = 0.1


async def sound(endpoint, call):
    await asyncio.sleep(random.uniform(0.05, 0.25))
    return await deliver(endpoint, call)


class SpoiltEndpoint:
    """The endpoint whose answers never end, in a process of its own."""

    def __init__(self, test):
        self.test, self.delivered, self.endless = test, {}, 0

    async def start(self):
        until = QUIET_S + SPOILT_S if self.test.trouble else 0.0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(STANDINS, "spoiler.py"), "--host", self.test.network.host(), "--from",
            str(QUIET_S), "--until", str(until), stdout=asyncio.subprocess.PIPE, start_new_session=True)
        self.test.processes.append(self.process)
        self.address = (await self.process.stdout.readline()).decode().strip()
        self.follower = asyncio.ensure_future(self.follow())

    async def follow(self):
        while line := (await self.process.stdout.readline()).decode().strip():
            self.test.record.add(f"endpoint b: {line}")
            words = line.split(" ")
            if words[2] == "delivered":
                self.delivered[words[1]] = self.test.record.now()
            self.endless += line.endswith("without end")


async def play(test):
    agent = Agent(test.record, "of n1", test.network.host())
    await agent.start()
    endpoints = []
    for destination in range(1, SOUND_DESTINATIONS + 1):
        endpoint = Endpoint(test.record, f"e{destination}", test.network.host(), destination, sound)
        await endpoint.start()
        await agent.change(**endpoint.entry())
        endpoints.append(endpoint)
    spoilt, spoilt_destination = SpoiltEndpoint(test), SOUND_DESTINATIONS + 1
    await spoilt.start()
    await agent.change(**{**endpoints[0].entry(), "host": "b", "dial": spoilt.address, "block": spoilt_destination})
    grades = [{**CHARGE_POST, "deadline": DEADLINE_S, "repeat_window": 4.0}, {**BALANCE_UPDATE, "deadline": DEADLINE_S}]
    dispatcher = Dispatcher(test, "n1", agent, agent.whole(), settings=settings(1, grades, slots=16))
    await dispatcher.start()
    client, lag = Client(test, dispatcher), 0.0

    async def watch_own_lag():
        nonlocal lag
        while True:
            before = test.record.now()
            await asyncio.sleep(0.01)
            lag = max(lag, test.record.now() - before - 0.01)

    watcher = asyncio.ensure_future(watch_own_lag())
    handed_in, until = [], test.record.now() + QUIET_S + SPOILT_S + 2.0
    while test.record.now() < until:
        spoilt_one = random.random() < SPOILT_SHARE
        destination = spoilt_destination if spoilt_one else random.randint(1, SOUND_DESTINATIONS)
        name, key = random.choice([("charge-post", f"{random.getrandbits(64):016x}"), ("balance-update", None)])
        handed_in.append(asyncio.ensure_future(client.submit(name, destination, int(DEADLINE_S * 1000), key=key)))
        await asyncio.sleep(1.0 / MESSAGES_PER_S)
    await asyncio.gather(*handed_in)
    await asyncio.sleep(DEADLINE_S + 3.0)
    watcher.cancel()
    delivered = dict(spoilt.delivered)
    for endpoint in endpoints:
        for call in endpoint.calls:
            if "answered_at" in call:
                delivered.update((name, call["answered_at"]) for name in call["ids"])
    test.say(f"{len(test.messages)} messages handed in, {sum(m['status'] == 202 for m in test.messages.values())} taken on, "
             f"{spoilt.endless} calls answered without end; the stand-ins were {lag:.3f} s late at most")
    if lag > STANDIN_LAG_S:
        raise CouldNotRun("the machine is too busy for the stand-ins")
    if test.trouble and spoilt.endless == 0:
        raise CouldNotRun("no call was answered without end")
    lost = {"spoilt": 0, "sound": 0}
    worst = 0.0
    for message in test.messages.values():
        if message["status"] != 202:
            continue
        # Its time counts from its last byte, which was written at the earliest when the client began.
        time_up = message["sent_at"] + message["timeout"]
        ends = [at for at, _ in agent.notices.get(message["id"], [])]
        ends += [delivered[message["id"]]] if message["id"] in delivered else []
        late_by = min(ends, default=float("inf")) - time_up
        worst = max(worst, late_by)
        if late_by > ANSWER_GRACE_S + SLACK_S:
            lost["spoilt" if message["destination"] == spoilt_destination else "sound"] += 1
            test.record.add(f"lost: {message['id']} for destination {message['destination']}: {late_by:.3f} s after its time")
    test.say(f"without a final answer {ANSWER_GRACE_S + SLACK_S} s after their time: {lost['spoilt']} messages for the "
             f"destination whose answers never end, {lost['sound']} for others; the latest answer {worst:.2f} s after its time")
    return BROKEN if sum(lost.values()) else HELD


main(play, HERE)
