"""Identity of one start of one VM."""

import attrs


@attrs.frozen(kw_only=True)
class VmIdentity:
    """A VM and its incarnation; nothing is inherited between incarnations."""

    name: str  # name of the VM in its settings
    incarnation: str  # random, made at each start
    availability_zone: str
    address: str  # "ip:port" of the peer listener

    @property
    def key(self) -> str:
        """Unique text of the incarnation, used in table keys."""
        return f'{self.name}.{self.incarnation}'
