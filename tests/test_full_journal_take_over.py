"""A process takes over the other slot's journal although both together do not fit into one file."""

from __future__ import annotations

from pathlib import Path

import pytest

from rowanrack.core.messages import End, Ending, Message
from rowanrack.store.journal import RETRY_DELAY_US, Journal
from rowanrack.store.journal_file import round_up_to_blocks

BUDGET_BYTES = 400_000
BODY = bytes(20_000)
DEADLINE_US = 5_000_000
FAILED = End(Ending.FAILED)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_us = 1_000_000

    def __call__(self) -> int:
        """Return the time."""
        return self.now_us


def open_journal(folder: Path, clock: Clock) -> Journal:
    """Start a process with a journal."""
    journal = Journal(folder, BUDGET_BYTES, clock)
    journal.open()
    return journal


def fill(journal: Journal, name: str) -> list[Message]:
    """Take on messages until there is no room."""
    taken: list[Message] = []
    while journal.take(message := Message(f"{name}{len(taken)}", "c", "t", 3, DEADLINE_US, BODY, "platform")):
        taken.append(message)
    assert taken
    return taken


def folder_bytes(folder: Path) -> int:
    """Return the bytes of all files, each in whole blocks."""
    return sum(round_up_to_blocks(path.stat().st_size) for path in folder.iterdir())


def test_both_processes_of_a_hot_restart_stay_within_one_budget(tmp_path: Path) -> None:
    """Guards against two processes that use the whole budget each, which ended in a folder over its limit."""
    clock = Clock()
    old = open_journal(tmp_path, clock)
    old_messages = fill(old, "old")
    for message in old_messages[:4]:
        old.end(message, FAILED)
    more = [Message(f"more{n}", "c", "t", 3, DEADLINE_US, BODY, "platform") for n in range(2)]
    assert all(old.take(message) for message in more)
    old_messages = old_messages[4:] + more
    assert folder_bytes(tmp_path) > BUDGET_BYTES // 2
    new = open_journal(tmp_path, clock)
    too_large = Message("large", "c", "t", 3, DEADLINE_US, BODY * 2, "platform")
    assert not new.take(too_large) and new.take(Message("small", "c", "t", 3, DEADLINE_US, b"", "platform"))
    assert folder_bytes(tmp_path) <= BUDGET_BYTES
    old.make_room_for_other_process()
    sizes = [folder_bytes(tmp_path)]
    new_messages = fill(new, "new")
    for messages, journal in ((old_messages, old), (new_messages, new)):
        for message in messages:
            assert journal.begin(message, 0)
            sizes.append(folder_bytes(tmp_path))
            journal.end(message, FAILED)
            journal.take(too_large)
            sizes.append(folder_bytes(tmp_path))
    old.close()
    assert new.take_over() is not None
    fill(new, "later")
    assert max(*sizes, folder_bytes(tmp_path)) <= BUDGET_BYTES
    new.close()


def test_messages_that_do_not_fit_beside_those_of_the_new_process_are_owned_at_once(tmp_path: Path) -> None:
    """Guards against messages of the previous process that nobody calls out or ends until there is room."""
    clock = Clock()
    old_messages = fill(old := open_journal(tmp_path, clock), "old")
    new_messages = fill(new := open_journal(tmp_path, clock), "new")
    assert old.begin(old_messages[0], 0)
    old.end(old_messages[1], FAILED)
    old.close()
    taken_over = new.take_over()
    assert taken_over is not None and {m.id for m in taken_over} == {
        m.id for m in old_messages if m is not old_messages[1]
    }
    assert new.inherited is not None and not new.other_process_running()
    assert new.ended("old1") == FAILED and new.ends_taken_over == ["old1"]
    assert not new.take(Message("more", "c", "t", 3, DEADLINE_US, BODY, "platform"))
    message = taken_over[0]
    assert message.unsettled.keys() == {0}
    new.never_ran(message, 0)
    assert new.begin(taken_over[1], 0)
    new.end(message, FAILED)
    new.confirm_notice(message.id)
    new.close()

    third = open_journal(tmp_path, clock)
    recovered = third.take_over()
    assert recovered is not None
    owed = {m.id: m for m in [*third.owed.values(), *recovered]}
    assert owed.keys() == {m.id for m in [*old_messages, *new_messages]} - {"old0", "old1"}
    assert owed[taken_over[1].id].unsettled.keys() == {0}
    assert third.ended("old0") == FAILED and third.ended("old1") == FAILED
    assert dict(third.unconfirmed_notices("platform")).keys() | third.ends_taken_over >= {"old1"}
    third.close()


@pytest.mark.parametrize("ends", ["own", "taken over"])
def test_inherited_file_is_merged_once_there_is_room(tmp_path: Path, ends: str) -> None:
    clock = Clock()
    old_messages = fill(old := open_journal(tmp_path, clock), "old")
    new_messages = fill(new := open_journal(tmp_path, clock), "new")
    old.close()
    assert new.take_over() and new.inherited is not None
    ended, owed = (new_messages, old_messages) if ends == "own" else (old_messages, new_messages)
    for message in ended:
        new.end(message, FAILED)
        new.take_over()
    assert new.inherited is None and not (tmp_path / "messages.log").exists()
    assert new.owed.keys() == {m.id for m in owed}
    new.end(owed[0], FAILED)
    clock.now_us += 2 * RETRY_DELAY_US  # a compaction may have failed for lack of room
    assert new.take(Message("more", "c", "t", 3, DEADLINE_US, BODY, "platform"))
    assert all(new.ended(m.id) == FAILED for m in ended)
    next_process = open_journal(tmp_path, clock)  # the other slot is free again
    next_process.close()
    new.close()
    assert open_journal(tmp_path, clock).take_over() is not None


def test_refused_message_is_not_taken_anew_while_its_end_is_in_the_inherited_file(tmp_path: Path) -> None:
    """Guards against a next process that reads the old refusal as newer than the message taken anew."""
    clock = Clock()
    old_messages = fill(old := open_journal(tmp_path, clock), "old")
    fill(new := open_journal(tmp_path, clock), "new")
    old.end(old_messages[0], End(Ending.REFUSED, 1))
    old.close()
    clock.now_us += 10
    assert new.take_over() and new.inherited is not None and new.ended("old0") is None
    anew = Message("old0", "c", "t", 3, DEADLINE_US, b"", "platform")
    for message in [*new.owed.values(), *new.inherited.owed.values()]:
        new.end(message, FAILED)
    clock.now_us += 2 * RETRY_DELAY_US
    assert new.take(Message("more", "c", "t", 3, DEADLINE_US, b"", "platform")) and not new.take(anew)
    new.take_over()
    assert new.inherited is None and new.take(anew)
    new.close()
