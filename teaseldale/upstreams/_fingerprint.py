"""Fingerprints of requests, which exclude their ids."""

import xxhash


def fingerprint_of(route: str, body: bytes) -> str:
    """Returns the hash of a route and a body, without the request key."""
    hashed = xxhash.xxh3_128(route.encode())
    hashed.update(b'\0')
    hashed.update(body)
    return hashed.hexdigest()
