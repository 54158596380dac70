"""Processing steps that errors are attributed to."""

import enum


@enum.unique
class Step(enum.StrEnum):
    """Step of a request or background task at which an error occurred."""

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
