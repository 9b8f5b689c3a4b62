"""Files in the data folder, behind an interface that tests can replace."""

from __future__ import annotations

import abc
import contextlib
import fcntl
import os
from pathlib import Path

LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".new"


class Disk(abc.ABC):
    """Interface of a folder of named files. Written data is durable only after a sync.

    Each method raises :class:`OSError` if the disk is full or fails.
    """

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return a file's contents, or ``None`` if it does not exist."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file; creates it if missing."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make everything written to a file durable."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to its first ``size`` bytes and sync it."""

    @abc.abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably; if that fails, the previous file stays."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all files."""


class FolderDisk(Disk):
    """Files in a folder, which is locked against use by other processes.

    :param folder: created if missing.
    :raises OSError: if the folder cannot be used or is locked by another process.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        self._lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._lock)
            raise OSError(f"{folder} is in use by another process") from error
        except OSError as error:
            os.close(self._lock)
            raise OSError(f"{folder} can't be locked: {error}") from error

    def read(self, name: str) -> bytes | None:
        """Return a file's contents, or ``None`` if it does not exist."""
        with contextlib.suppress(FileNotFoundError):
            return (self._folder / name).read_bytes()
        return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; creates it if missing."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._get_or_open_descriptor(name), view) :]

    def sync(self, name: str) -> None:
        """Make everything written to a file durable."""
        os.fsync(self._get_or_open_descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to its first ``size`` bytes and sync it."""
        os.ftruncate(self._get_or_open_descriptor(name), size)
        self.sync(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably; if that fails, the previous file stays."""
        temporary = name + _TEMPORARY_SUFFIX
        self._close_file(temporary)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._folder / temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self._close_file(temporary)
        self._close_file(name)
        os.replace(self._folder / temporary, self._folder / name)
        self._sync_folder()

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close_file(name)
        os.close(self._lock)

    def _get_or_open_descriptor(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self._folder / name, flags, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
