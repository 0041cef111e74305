"""Access to fields of Envoy's messages that the installed protobuf classes do not have."""

from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from google.protobuf.unknown_fields import UnknownFieldSet
from google.protobuf.wrappers_pb2 import UInt64Value

# RateLimitDescriptor's `bool is_negative_hits = 4` is newer than the classes of xds-protos. It is written and
# read as an unknown field: number 4, type varint, value 1.
NEGATIVE_FIELD = 4
NEGATIVE_ENCODED = bytes([NEGATIVE_FIELD << 3, 1])


def set_hits(descriptor: ratelimit_pb2.RateLimitDescriptor, amount: int) -> None:
    """Sets the hits of a descriptor: 0 only reads the counter, a negative amount subtracts."""
    descriptor.hits_addend.CopyFrom(UInt64Value(value=abs(amount)))
    if amount < 0:
        descriptor.MergeFromString(NEGATIVE_ENCODED)


def is_negative(descriptor: ratelimit_pb2.RateLimitDescriptor) -> bool:
    known = getattr(descriptor, "is_negative_hits", None)
    if known is not None:
        return bool(known)
    return any(field.field_number == NEGATIVE_FIELD and field.data for field in UnknownFieldSet(descriptor))  # type: ignore[attr-defined]
