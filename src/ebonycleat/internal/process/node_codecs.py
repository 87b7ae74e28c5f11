"""Codecs with all message classes of peer links and of the log."""

from ebonycleat.internal.connection.codec import MessageCodec, create_codec
from ebonycleat.internal.connection.grant_messages import GRANT_MESSAGES
from ebonycleat.internal.connection.lease_messages import LEASE_MESSAGES
from ebonycleat.internal.connection.peer_messages import (
    CALL_MESSAGES,
    DEDUPE_MESSAGES,
    LINK_MESSAGES,
)
from ebonycleat.internal.process.configuration_relay import (
    CONFIGURATION_MESSAGES,
)
from ebonycleat.internal.process.membership_component import (
    MEMBER_MESSAGES,
    MEMBER_RECORDS,
)
from ebonycleat.internal.process.ownership import OWNERSHIP_RECORDS
from ebonycleat.internal.process.ownership_sync import (
    OWNERSHIP_SYNC_MESSAGES,
)
from ebonycleat.internal.process.started_log import StartedGroup
from ebonycleat.internal.process.suspect_memory import (
    SuspectsCleared,
    TargetDied,
)
from ebonycleat.internal.version.snapshot import CONFIGURATION_RECORD_TYPES

SUSPECT_RECORDS = (TargetDied, SuspectsCleared)


def create_peer_codec() -> MessageCodec:
    """Create the codec for messages between nodes."""
    return create_codec(
        *LINK_MESSAGES,
        *CALL_MESSAGES,
        *DEDUPE_MESSAGES,
        *GRANT_MESSAGES,
        *LEASE_MESSAGES,
        *OWNERSHIP_SYNC_MESSAGES,
        *CONFIGURATION_MESSAGES,
        *MEMBER_MESSAGES,
        *SUSPECT_RECORDS,
    )


def create_log_codec() -> MessageCodec:
    """Create the codec for records of the log."""
    return create_codec(
        *CONFIGURATION_RECORD_TYPES,
        *MEMBER_RECORDS,
        *OWNERSHIP_RECORDS,
        StartedGroup,
        *SUSPECT_RECORDS,
    )
