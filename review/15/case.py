"""A harmful part that crashes servers some time after an answer's first event."""

import lab  # isort: skip

import os

from harmful_part import HarmfulPart

# With 0.2, for comparison, the part is quarantined.
WRITES_FOR_S = float(os.environ.get("WRITES_FOR_S", "0.5"))
SHARED_PARTS = 4

if __name__ == "__main__":
    lab.run_case(
        __file__,
        lambda lab_: HarmfulPart(
            lab_, lab.TROUBLE, SHARED_PARTS, writes_for_s=WRITES_FOR_S
        ).run(),
    )
