"""Numbers that minions choose."""

from typing import Annotated

import msgspec

LARGEST_INT = 2**53  # the whole numbers that every JSON parser keeps exactly

# A number that a minion chose: bounded where it enters, so that every message that repeats it can be encoded.
MinionInt = Annotated[int, msgspec.Meta(ge=-LARGEST_INT, le=LARGEST_INT)]
