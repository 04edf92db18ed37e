"""The library example in the README runs and prints what the README shows."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example_prints_what_the_page_says(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
    first, second, third = capsys.readouterr().out.splitlines()
    assert first == third == "[]"
    assert second.startswith("[Send(message='m1'")
    assert "SetTimer(" in second
