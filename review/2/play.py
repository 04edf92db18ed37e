"""A burst over MQTT, more than the dispatcher may hold, and SIGKILL: each request must get an answer."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.agent import Agent
from standins.broker import Broker, Message, text, user_properties
from standins.endpoint import Answer, Endpoint
from standins.play import run
from standins.process import Dispatcher, deployment_settings
from standins.record import RecordFile

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INTAKE, ANSWERS = "honeyhitch/intake", "studio/answers"
MESSAGES, MAX_OPEN = 150, 60
TIME_MS = 8000  # `d` of each message
LATE = 0.5 + 0.05  # seconds after its time at which an answer still counts
RECEIVE_MAXIMUM, LATENCY = 20, 0.01  # publishes in flight, and seconds in each direction


async def play(folder: Path, record: RecordFile) -> int:
    agent = Agent(record)
    await agent.start()
    for destination in (1, 2, 3):
        endpoint = Endpoint(f"s-{destination}", record, lambda call: Answer(delay=0.1))
        await endpoint.start()
        agent.add(endpoint.name, endpoint.port, destination)
    answers: dict[str, list[tuple[float, str]]] = {}

    def on_message(message: Message) -> None:
        fields = json.loads(message.payload)
        answers.setdefault(fields["id"], []).append((record.now(), fields["status"]))
        record.write(f"client: answer {message.payload.decode()}")

    broker = Broker(RECEIVE_MAXIMUM, LATENCY, on_message)
    await broker.start()
    settings = deployment_settings(caps={"max-open": MAX_OPEN})
    operator = f'[mqtt]\nbroker = "127.0.0.1:{broker.port}"\n'
    dispatcher = Dispatcher(folder, agent.port, agent.members, settings, operator)
    try:
        await dispatcher.start()
        async with asyncio.timeout(10):
            while not broker.subscribed(INTAKE):
                await asyncio.sleep(0.01)
        taken = asyncio.Event()

        def on_acknowledged() -> None:
            if broker.acknowledged == MESSAGES:
                record.write(f"broker: the dispatcher has acknowledged all {MESSAGES} publishes")
                taken.set()

        broker.on_acknowledged = on_acknowledged
        sent: dict[str, float] = {}
        for number in range(MESSAGES):
            message = f"m{number:04d}"
            fields = {
                "id": message,
                "c": "standard",
                "t": "studio",
                "d": str(TIME_MS),
                "k": f"k{number:04d}",
                "dest": str(1 + number % 3),
            }
            properties = b"\x08" + text(ANSWERS) + user_properties(fields)
            sent[message] = record.now()
            record.write(f"client: publish id={message} d={TIME_MS}")
            broker.publish(Message(INTAKE, b"render job done", properties))
        async with asyncio.timeout(5):
            await taken.wait()
        if TROUBLE:
            record.write(f"operator: SIGKILL, {len(answers)} of {MESSAGES} answered so far")
            await dispatcher.kill()
            await asyncio.sleep(0.6)
            await dispatcher.start()
            record.write("operator: the dispatcher is ready again")
        last = max(sent.values()) + TIME_MS / 1000 + LATE
        while record.now() < last + 1 and len(answers) < MESSAGES:
            await asyncio.sleep(0.1)
    finally:
        await dispatcher.kill()
    late = [
        name
        for name, at in sent.items()
        if name in answers and answers[name][0][0] > at + TIME_MS / 1000 + LATE
    ]
    missing = [name for name in sent if name not in answers]
    record.write(
        f"result: {MESSAGES} requests, {len(answers)} answered, {len(missing)} never, {len(late)} too late"
    )
    record.write(f"never answered: {' '.join(missing) or '-'}")
    return 1 if missing or late else 0


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, play)
