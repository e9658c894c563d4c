"""The lab: its links' faults, its plan, its checker against broken books, and a small fleet that is hurt."""

from __future__ import annotations

from pathlib import Path

from rowanrack.lab.fleet import Figures, Fleet, Partner
from tests.rig import on_loop

SHOP = Partner("shop", Figures(dest=1, rate=60.0), endpoints=2)


@on_loop
async def test_a_fleet_starts_is_hurt_and_serves_again(tmp_path: Path) -> None:
    async with Fleet(tmp_path / "f", 2, [SHOP], notes=True, mesh=("channel",)) as fleet:
        one = fleet.senders["s0"]
        assert await one.mgmt("GET", "/_ready") == (200, b"ready\n")
        assert await fleet.submit("s0", "m1", "print-order", 1) == "+OK"
        await fleet.until(lambda book: any(e.what == "answer" and e.message == "m1" for e in book))
        await one.kill()
        assert await fleet.submit("s0", "m2", "print-order", 1) == "lost"
        await one.start()
        one.disk_full()
        number, answer = 3, "+OK"
        while answer == "+OK" and number < 200:  # the journal has some room that the disk gave before
            number += 1
            answer = await fleet.submit("s0", f"m{number}", "print-order", 1)
        assert answer == "-BUSY 1000"
        one.disk_room()
        while (await one.mgmt("GET", "/_ready"))[0] != 200:  # it looks again by itself
            pass
        assert await fleet.submit("s0", f"m{number}", "print-order", 1) == "+OK"
        children = [sender.child for sender in fleet.senders.values()]
    assert all(child is not None and child.poll() is not None for child in children)
