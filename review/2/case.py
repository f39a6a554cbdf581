"""Calls at the control port beside callers that hold a connection with no whole call."""

import asyncio
import os
import sys
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Dispatcher, Endpoint, Message, Platform, Record, answer, new_folder, pasig_config, remove_folder, submit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
LENGTH = 32.0
# An answer is owed in 1 s; each limit is 50 ms longer on sockets.
ANSWER_LIMIT = 1.05
HOLDERS = 20
HOLD_TIME = 4.0
CALLERS = 6
CALL_INTERVAL = 0.25
# The two pieces of an operator's line come this far apart.
CUT_TIME = 0.05


async def call(address, line):
    """One call whose line is cut; returns the answer and how long it took from when the call was whole."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(line[:3].encode())
        await writer.drain()
        await asyncio.sleep(CUT_TIME)
        whole_at = asyncio.get_running_loop().time()
        writer.write((line[3:] + "\n").encode())
        try:
            text = await asyncio.wait_for(reader.read(), 5)
        except (asyncio.TimeoutError, ConnectionError):
            # Nothing came in time, or the connection was closed before the call was whole.
            text = b""
        return text.decode(), asyncio.get_running_loop().time() - whole_at
    finally:
        writer.close()


async def play(record, folder):
    async def sound(_):
        return await answer(200, 0.24)

    endpoint = await Endpoint("s-1", 1, "outlets", "pasig-dc", sound, record).start()
    platform = await Platform([endpoint], record).start()
    dispatcher = Dispatcher("n1", pasig_config(), platform, record, folder, inherit=True)
    wrong, calls, refused = [], 0, 0

    async def hold(process, until):
        """Holds a connection for 4 s with no whole call, over and over; all holders come at the same times."""
        host, port = process.control.split(":")
        while record.now() < until:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"STA")
            await asyncio.sleep(HOLD_TIME)
            writer.close()
            await asyncio.sleep(0.1)

    async def operate(process, first, until):
        nonlocal calls
        await asyncio.sleep(first)
        while record.now() < until:
            for line, begins in (("STATUS", "SUCCESS"), ("METRICS", "app.")):
                started = record.now()
                text, took = await call(process.control, line)
                calls += 1
                as_owed = text.startswith(begins) and took <= ANSWER_LIMIT
                if not as_owed:
                    wrong.append((line, text.strip(), took))
                shown = text.splitlines()[0] if text else "nothing"
                record.add(f"operator: {line} at {started:.3f}: {shown!r} after {took:.3f} s"
                           f"{'' if as_owed else ' WRONG'}")
                await asyncio.sleep(CALL_INTERVAL - CUT_TIME)

    async def traffic(until):
        """The dispatcher serves all the time: its clients say so."""
        nonlocal refused
        number = 0
        while record.now() < until:
            number += 1
            message = await submit(record, dispatcher.port, Message(f"m{number}", "balance-update", 1, 20000))
            refused += message.status != 202
            await asyncio.sleep(0.3)

    holders = []
    try:
        process = await dispatcher.start()
        if not await dispatcher.until_yes(process, 30.0):
            raise RuntimeError("the dispatcher is not ready")
        until = record.now() + LENGTH
        tasks = [operate(process, CALL_INTERVAL * number / CALLERS, until) for number in range(CALLERS)]
        if TROUBLE:
            record.add(f"{HOLDERS} callers begin to hold connections for {HOLD_TIME} s with no whole call")
            holders = [asyncio.ensure_future(hold(process, until)) for _ in range(HOLDERS)]
        await asyncio.gather(traffic(until), *tasks)
        if not process.alive() or refused:
            raise RuntimeError("the dispatcher did not serve all the time")
    finally:
        for holder in holders:
            holder.cancel()
        await asyncio.gather(*holders, return_exceptions=True)
        dispatcher.end()
        endpoint.stop()
    return wrong, calls


def main():
    record, folder = Record(os.path.join(HERE, "record.txt")), new_folder()
    record.add(f"TROUBLE={int(TROUBLE)}")
    try:
        wrong, calls = asyncio.run(asyncio.wait_for(play(record, folder), 100))
    except Exception as error:
        record.add(f"could not run: {error!r}")
        traceback.print_exc()
        return 2
    finally:
        remove_folder(folder)
    verdict = f"{len(wrong)} of {calls} calls were answered wrongly or late" if wrong else f"the rule held for {calls} calls"
    record.add(f"verdict: {verdict}")
    print(verdict)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
