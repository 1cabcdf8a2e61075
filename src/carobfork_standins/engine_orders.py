"""Engine orders: what an engine was told to load or to be."""

import attrs

KINDS = frozenset(('load_model', 'load_adapter', 'load_version', 'change_role'))


@attrs.frozen
class Order:
    """An order and the fencing number of who gave it."""

    fencing: int
    kind: str
    target: str


class OrderBook:
    """Hold the orders in force, one a kind.

    :param checks_fencing: whether older fencing numbers are refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        """Start without orders."""
        self.in_force: dict[str, Order] = {}
        self.accepted = 0
        self.highest_fencing = 0
        self._checks_fencing = checks_fencing

    def accept(self, order: Order) -> bool:
        """Put an order in force and tell whether it was taken."""
        if self._checks_fencing and order.fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.in_force[order.kind] = order
        self.accepted += 1
        return True
