"""Steps of a request or of background work at which an error can arise."""

import enum


@enum.unique
class Step(enum.StrEnum):
    """Where in the work an error arose."""

    AUTHENTICATE = 'authenticate'
    PARSE = 'parse'
    ADMIT = 'admit'
    REGISTER = 'register'
    RESERVE = 'reserve'
    CHOOSE_UPSTREAM = 'choose_upstream'
    DISPATCH = 'dispatch'
    STREAM = 'stream'
    SETTLE = 'settle'
    TABLE_READ = 'table_read'
    TABLE_COMMIT = 'table_commit'
    MEMBERSHIP = 'membership'
    PEER_REQUEST = 'peer_request'
    NOTE = 'note'
    MOVE = 'move'
