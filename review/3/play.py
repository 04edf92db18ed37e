"""SIGKILL while answers over MQTT are on their way. Each message must get exactly one final answer."""

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
MESSAGES, TIME_MS = 50, 8000  # number of messages, and `d` of each
RECEIVE_MAXIMUM, LATENCY = 20, 0.01  # publishes in flight, and seconds in each direction


async def play(folder: Path, record: RecordFile) -> int:
    agent = Agent(record)
    await agent.start()
    for destination in (1, 2, 3):
        endpoint = Endpoint(f"s-{destination}", record, lambda call: Answer(delay=0.1))
        await endpoint.start()
        agent.add(endpoint.name, endpoint.port, destination)
    answers: dict[str, list[str]] = {}

    def on_message(message: Message) -> None:
        fields = json.loads(message.payload)
        answers.setdefault(fields["id"], []).append(fields["status"])
        record.write(f"client: answer {message.payload.decode()}")

    broker = Broker(RECEIVE_MAXIMUM, LATENCY, on_message)
    await broker.start()
    operator = f'[mqtt]\nbroker = "127.0.0.1:{broker.port}"\n'
    dispatcher = Dispatcher(folder, agent.port, agent.members, deployment_settings(), operator)
    sent: dict[str, float] = {}
    try:
        await dispatcher.start()
        async with asyncio.timeout(10):
            while not broker.subscribed(INTAKE):
                await asyncio.sleep(0.01)
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
            sent[message] = record.now()
            record.write(f"client: publish id={message} d={TIME_MS}")
            broker.publish(
                Message(INTAKE, b"render job done", b"\x08" + text(ANSWERS) + user_properties(fields))
            )
        async with asyncio.timeout(TIME_MS / 1000):
            while len(answers) < MESSAGES // 2:
                await asyncio.sleep(0.001)
        if TROUBLE:
            record.write(f"operator: SIGKILL, {len(answers)} of {MESSAGES} answered so far")
            await dispatcher.kill()
            await asyncio.sleep(0.6)
            await dispatcher.start()
            record.write("operator: the dispatcher is ready again")
        while record.now() < max(sent.values()) + TIME_MS / 1000 + 1:
            await asyncio.sleep(0.1)
    finally:
        await dispatcher.kill()
    twice = {name: got for name, got in answers.items() if len(got) > 1}
    record.write(
        f"result: {MESSAGES} messages, {len(answers)} answered, {len(twice)} more than once: {twice}"
    )
    return 1 if twice else 0


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, play)
