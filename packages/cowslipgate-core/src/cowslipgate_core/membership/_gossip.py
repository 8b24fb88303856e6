"""Whom an entry gossips to in each round, and what silence means.

With few entries everyone hears everyone each round. With more of them an
entry tells its peers in turn, so that what gossip costs a node stays the same
however many entries there are; only the loss of one is noticed later.
"""

import datetime
import math

GOSSIP_INTERVAL = datetime.timedelta(seconds=1)
GOSSIP_FANOUT = 12
LAPSE_AFTER = datetime.timedelta(seconds=10)
LAPSE_TURNS = 4


def count_turns(peers: int) -> int:
    """Return the rounds in which every peer is told once."""
    return max(1, math.ceil(peers / GOSSIP_FANOUT))


def choose_receivers(peers: list[int], number: int) -> list[int]:
    """Return the peers to tell in round ``number``.

    :param peers: incarnations of all peers, in an order that stays
    """
    turns = count_turns(len(peers))
    return peers[number % turns :: turns]


def stretch_lapse(peers: int) -> datetime.timedelta:
    """Return the silence after which one of ``peers`` counts as gone."""
    turn = GOSSIP_INTERVAL * count_turns(peers)
    return max(LAPSE_AFTER, turn * LAPSE_TURNS)
