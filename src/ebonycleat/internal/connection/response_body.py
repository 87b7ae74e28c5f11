"""The body of a response being received, within the memory of the process."""

import abc
import asyncio
import io
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import SMALL_BYTES

MAX_RESPONSE_BYTES = 67_108_864
"""Limit of the body of a response, which is kept in memory as a whole."""

ROOM_TIMEOUT_S = 2.0
"""How long a response waits for room. Readers and bodies that make no progress
for a second give way before; other requests need the slot of the server."""


class BodyRoom(abc.ABC):
    """Accounts for the bytes of bodies."""

    @abc.abstractmethod
    def hold_bytes(self, count: int, is_small: bool) -> bool:
        """Account for ``count`` more bytes of bodies; False without room."""

    @abc.abstractmethod
    def hold_anyway(self, count: int) -> None:
        """Account for bytes that have been received already."""

    @abc.abstractmethod
    def free_bytes(self, count: int) -> None:
        """Account for bytes of bodies that are held no longer."""

    @abc.abstractmethod
    def await_room(self, resume: Callable[[], bool]) -> None:
        """Call ``resume`` whenever there may be room, until it is True."""


class ResponseBody:
    """The body of the response that one connection receives.

    ``size`` is the size of what has arrived, and ``held`` what is accounted
    for: the whole body where its length is known, else what is in memory.
    ``room_wanted`` is the size of a body for which there is no room yet;
    meanwhile nothing more is read. ``announced_size`` is zero for a small body
    and one of unknown length.
    """

    def __init__(self, room: BodyRoom, on_no_room: Callable[[], None]) -> None:
        """Call ``on_no_room`` if room was awaited for too long."""
        self.room = room
        self.on_no_room = on_no_room
        self.transport: asyncio.ReadTransport | None = None
        self.buffer: io.BytesIO | None = None
        self.size = 0
        self.held = 0
        self.announced_size = 0
        self.room_wanted = 0
        self.room_wanted_since: float = 0

    def reserve(self) -> None:
        """Account for a whole body of known size, or wait for room.

        Bodies that are all partly received could wait for each other.
        """
        size = self.announced_size
        if size <= SMALL_BYTES or size > MAX_RESPONSE_BYTES:
            return
        if self.room.hold_bytes(size, is_small=False):
            self.held = size
        elif self.transport is not None:
            self.room_wanted = size
            self.room_wanted_since = asyncio.get_running_loop().time()
            self.transport.pause_reading()
            self.room.await_room(self.resume_with_room)

    def add(self, part: bytes) -> bool:
        """Add a part; return False if the body is too large or has no room."""
        count = len(part)
        self.size += count
        if self.size > MAX_RESPONSE_BYTES:
            return False
        if self.size > self.held:
            # Part of a body of unknown length, or read together with its head.
            if self.room_wanted:
                self.room.hold_anyway(count)
            elif not self.room.hold_bytes(count, self.size <= SMALL_BYTES):
                return False
            self.held += count
        if self.buffer is None:
            self.buffer = io.BytesIO()
        self.buffer.write(part)
        return True

    def resume_with_room(self) -> bool:
        """Read on if there is room now; return whether to stop waiting."""
        if not self.room_wanted:
            return True
        missing = self.room_wanted - self.held
        waited_s = asyncio.get_running_loop().time() - self.room_wanted_since
        if self.room.hold_bytes(missing, is_small=False):
            self.held = self.room_wanted
            self.read_on()
        elif waited_s > ROOM_TIMEOUT_S:
            self.on_no_room()
        return not self.room_wanted

    def read_on(self) -> None:
        """Read again; there is room, or the body is dropped."""
        self.room_wanted = 0
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def take(self) -> tuple[bytes, int]:
        """Return the body, and what must be freed once it has a new holder."""
        body = b'' if self.buffer is None else self.buffer.getvalue()
        held = self.held
        self.size = 0
        self.held = 0
        self.announced_size = 0
        self.buffer = None
        if self.room_wanted:
            self.read_on()
        return body, held

    def drop(self) -> None:
        """Drop what was received so far."""
        held = self.held
        self.held = 0
        self.size = 0
        self.announced_size = 0
        self.buffer = None
        if held:
            self.room.free_bytes(held)
        if self.room_wanted:
            self.read_on()
