"""An in-memory disk that simulates crashes, torn writes, a full disk and I/O errors."""

from __future__ import annotations

import errno

from lacewingrudder_daemon._storage.disk import Disk


class FakeDisk(Disk):
    """Files as the process sees them, and as they would be after a crash.

    :param capacity: total size of all files in bytes.
    """

    def __init__(self, capacity: int = 1 << 30) -> None:
        self.capacity = capacity
        self.has_sync_error = False
        self.sync_count = 0
        self.synced: dict[str, bytes] = {}
        self._files: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        return self._files.get(name)

    def append(self, name: str, data: bytes) -> None:
        free = self.capacity - sum(map(len, self._files.values()))
        self._files[name] = self._files.get(name, b"") + data[: max(0, free)]
        if free < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self, name: str) -> None:
        if self.has_sync_error:
            raise OSError(errno.EIO, "Input/output error")
        self.sync_count += 1
        self.synced[name] = self._files[name]

    def truncate(self, name: str, size: int) -> None:
        self._files[name] = self._files[name][:size]
        self.sync(name)

    def replace(self, name: str, data: bytes) -> None:
        before = self._files.get(name)
        try:
            self._files[name] = b""
            self.append(name, data)
            self.sync(name)
        except OSError:
            if before is None:
                del self._files[name]
            else:
                self._files[name] = before
            raise

    def close(self) -> None:
        pass

    def crash(self, torn_bytes: int = 0) -> None:
        """Discard all data that is not synced, as a crash of the machine does.

        :param torn_bytes: number of bytes of each file's unsynced data that survive.
        """
        for name, data in self._files.items():
            kept = len(self.synced.get(name, b""))
            self._files[name] = data[: kept + torn_bytes]
        self.synced = dict(self._files)

    def corrupt(self, name: str, offset: int) -> None:
        """Corrupt one byte of a file."""
        data = bytearray(self._files[name])
        data[offset] ^= 0xFF
        self._files[name] = bytes(data)
