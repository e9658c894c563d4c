"""What is compared: this version of the senders, another one, and either with settings of its own."""

from __future__ import annotations

import io
import subprocess
import tarfile
import tempfile
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
PARTS = ("rowanspindle", "rowanrack")


class VariantError(Exception):
    """No such variant; the text is one line."""


@dataclass(frozen=True)
class Variant:
    """Senders from a checkout, with overrides of their constants and of their settings."""

    label: str
    tree: Path
    overrides: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)


def value_of(text: str) -> int | float:
    """A number. Raises VariantError."""
    plain = text.replace("_", "")
    try:
        return int(plain)
    except ValueError:
        pass
    try:
        return float(plain)
    except ValueError:
        raise VariantError(f"{text!r} is no number") from None


def split(pairs: dict[str, Any]) -> tuple[dict[str, Any], dict[str, Any]]:
    """Overrides of constants, and of settings."""
    settings = {name[9:]: value for name, value in pairs.items() if name.startswith("settings.")}
    return {n: v for n, v in pairs.items() if not n.startswith("settings.")}, settings


def from_file(path: Path) -> dict[str, Any]:
    """The overrides in a TOML file: a table for each part, `[logic]` say. Raises VariantError."""
    try:
        doc = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise VariantError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    pairs = {}
    for part, table in doc.items():
        if not isinstance(table, dict):
            raise VariantError(f"{path}: {part}: a table is expected, [logic] say")
        for name, value in table.items():
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise VariantError(f"{path}: {part}.{name}: a number is expected, not {value!r}")
            pairs[f"{part}.{name}"] = value
    return pairs


def git(*words: str) -> subprocess.CompletedProcess[bytes]:
    """A git command in this repository."""
    return subprocess.run(["git", "-C", str(ROOT), *words], capture_output=True, check=False)


@contextmanager
def opened(text: str) -> Iterator[Variant]:
    """A variant from its text. Raises VariantError.

    The text is `this`, overrides (`pacing.WINDOW_CUT_FACTOR=0.5,settings.slots=9`), a TOML file of them, the
    folder of a checkout, or a git revision, which is checked out for as long as this lasts.
    """
    path = Path(text)
    if text == "this":
        yield Variant("this", ROOT)
    elif "=" in text:
        pairs = {
            name.strip(): value_of(value.strip())
            for name, _, value in (p.partition("=") for p in text.split(","))
        }
        yield Variant(text, ROOT, *split(pairs))
    elif text.endswith(".toml"):
        yield Variant(path.name, ROOT, *split(from_file(path)))
    elif path.is_dir():
        if not (path / "rowanspindle" / "logic.py").is_file():
            raise VariantError(f"{text}: no checkout of rowanrack")
        yield Variant(text, path.resolve())
    else:
        found = git("rev-parse", "--verify", "--quiet", f"{text}^{{commit}}")
        if found.returncode:
            raise VariantError(f"{text!r} is no revision, folder, settings file or override")
        archive = git("archive", found.stdout.decode().strip(), *PARTS)
        if archive.returncode:
            raise VariantError(f"{text}: {archive.stderr.decode().strip().splitlines()[-1]}")
        with tempfile.TemporaryDirectory(prefix="rowanrack-model-") as folder:
            with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as packed:
                packed.extractall(folder, filter="data")
            yield Variant(f"{text} ({found.stdout.decode()[:8]})", Path(folder))
