"""Identity of a VM and of one incarnation (process start) of it."""

import attrs


@attrs.frozen(kw_only=True)
class VmIdentity:
    """One incarnation of a VM; it inherits no state from earlier ones."""

    name: str  # VM name from its settings
    incarnation: str  # random, generated at each start
    availability_zone: str
    address: str  # "ip:port" of the peer listener

    @property
    def key(self) -> str:
        """Unique key of the incarnation, as used in table keys."""
        return f'{self.name}.{self.incarnation}'
