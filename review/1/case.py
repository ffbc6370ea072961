"""Play prompts of which the 34th part crashes replicas."""

import os
import pathlib
import sys

import crashing
import harness

#: Position of the part that crashes replicas, counted from zero.
POSITION = int(os.environ.get("POSITION", "33"))


async def play(deployment: harness.Deployment, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    plan = crashing.Plan(
        parts=40,
        position=POSITION,
        interval_s=1.0,
        duration_s=60.0,
        crashes_replicas=has_trouble,
    )
    return await crashing.CrashingPart(deployment, plan).play()


if __name__ == "__main__":
    sys.exit(harness.main(pathlib.Path(__file__).parent, play))
