"""Durable state in the data folder."""

from ._storage.disk import FolderDisk as FolderDisk
from ._storage.log_store import ReplicaStore as ReplicaStore
