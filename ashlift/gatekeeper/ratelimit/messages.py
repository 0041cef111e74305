"""Fields of Envoy's messages that take more than a name to read or write."""

from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from google.protobuf.unknown_fields import UnknownFieldSet
from google.protobuf.wrappers_pb2 import UInt64Value

# `bool is_negative_hits = 4` of RateLimitDescriptor is younger than the messages that xds-protos publishes.
# It travels as protobuf carries any field that a reader has not heard of: number 4, type varint, value 1.
NEGATIVE = 4
NEGATIVE_BYTES = bytes([NEGATIVE << 3, 1])


def set_hits(descriptor: ratelimit_pb2.RateLimitDescriptor, amount: int) -> None:
    """The descriptor's own amount: 0 reads, below 0 takes off."""
    descriptor.hits_addend.CopyFrom(UInt64Value(value=abs(amount)))
    if amount < 0:
        descriptor.MergeFromString(NEGATIVE_BYTES)


def is_negative(descriptor: ratelimit_pb2.RateLimitDescriptor) -> bool:
    known = getattr(descriptor, "is_negative_hits", None)
    if known is not None:
        return bool(known)
    return any(field.field_number == NEGATIVE and field.data for field in UnknownFieldSet(descriptor))  # type: ignore[attr-defined]
