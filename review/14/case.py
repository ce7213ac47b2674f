"""A harmful part with a long id: it must be kept away from servers."""

import lab  # isort: skip

import os

from harmful_part import HarmfulPart

# Length of a SHA-512 in hexadecimal. With 64, for comparison, the part is quarantined.
ID_DIGITS = int(os.environ.get("ID_DIGITS", "128"))
SHARED_PARTS = 4

if __name__ == "__main__":
    lab.run_case(
        __file__,
        lambda lab_: HarmfulPart(lab_, lab.TROUBLE, SHARED_PARTS, ID_DIGITS).run(),
    )
