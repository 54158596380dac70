"""Fleet membership, cells of VMs and keepers of accounts."""

from teaseldale.members._cells import FleetCells
from teaseldale.members._hash_ring import HashRing
from teaseldale.members._keepers import KEEPER_COUNT, AccountKeepers
from teaseldale.members._member_list import MemberList
from teaseldale.members._members import (
    BaseFleetMembers,
    FixedMembers,
    VmEntry,
)
from teaseldale.members._ranking import rank_by_hash, rendezvous

__all__ = (
    'KEEPER_COUNT',
    'AccountKeepers',
    'BaseFleetMembers',
    'FixedMembers',
    'FleetCells',
    'HashRing',
    'MemberList',
    'VmEntry',
    'rank_by_hash',
    'rendezvous',
)
