"""A harmful part of long prompts: it must be kept away from servers."""

import lab  # isort: skip

import os

from harmful_part import HarmfulPart

# With 4, for comparison, the part is quarantined.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "40"))

if __name__ == "__main__":
    lab.run_case(
        __file__, lambda lab_: HarmfulPart(lab_, lab.TROUBLE, SHARED_PARTS).run()
    )
