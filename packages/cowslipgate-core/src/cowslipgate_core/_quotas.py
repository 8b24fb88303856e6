"""Division of a team's slots between the entries."""


def share_slots(
    slots: int, own: int, others: dict[int, int], entries: int
) -> int:
    """Return the slots of a team that this entry may use.

    :param slots: slots that the team may use over all entries
    :param own: demand of the team at this entry
    :param others: its demand at each other entry that was heard
    :param entries: number of live entries, this one included
    """
    equal = slots // entries
    if len(others) < entries - 1:
        return equal
    total = own + sum(others.values())
    if total <= 0:
        return equal
    return slots * own // total
