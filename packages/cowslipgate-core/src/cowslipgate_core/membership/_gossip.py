"""Receivers of gossip in each round, and the expiry of members.

Up to GOSSIP_FANOUT peers get gossip from an entry in every round. With more
of them the entry sends to its peers in turn, so that the cost of gossip at an
entry doesn't grow with their number, but the loss of an entry is detected
later.
"""

import datetime
import math

GOSSIP_INTERVAL = datetime.timedelta(seconds=1)
GOSSIP_FANOUT = 12
"""Largest number of peers that get gossip in one round."""

MEMBER_EXPIRES_AFTER = datetime.timedelta(seconds=10)
"""Shortest time without gossip after which a member expires."""

EXPIRY_ROUNDS = 4
"""Gossip messages of a peer that have to be missed before it expires."""


def count_gossip_rounds(peers: int) -> int:
    """Return the number of rounds in which every peer gets gossip once."""
    return max(1, math.ceil(peers / GOSSIP_FANOUT))


def choose_receivers(peers: list[int], number: int) -> list[int]:
    """Return the peers that get gossip in round ``number``.

    :param peers: incarnations of all peers, in a stable order
    """
    turns = count_gossip_rounds(len(peers))
    return peers[number % turns :: turns]


def compute_member_expiry(peers: int) -> datetime.timedelta:
    """Return the time without gossip after which one of ``peers`` expires."""
    turn = GOSSIP_INTERVAL * count_gossip_rounds(peers)
    return max(MEMBER_EXPIRES_AFTER, turn * EXPIRY_ROUNDS)
