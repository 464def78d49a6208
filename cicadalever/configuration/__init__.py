"""Configuration: document schema, patches, history and the platform client."""

from ._configuration import (
    CanaryMode,
    Configuration,
    Operation,
    Policy,
    QueryKind,
    QueryRoute,
    Snapshot,
)
from ._document import MAX_DOCUMENT_BYTES, Document, check_document, read_document
from ._history import ConfigurationHistory, FullDocument, LogEntry, UpdateVerdict
from ._patch import Accepted, Patch, Refused, apply_patch, check_patch
from ._platform import HttpPlatformReader, PlatformReader, read_full_document

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Accepted",
    "CanaryMode",
    "Configuration",
    "ConfigurationHistory",
    "Document",
    "FullDocument",
    "HttpPlatformReader",
    "QueryKind",
    "LogEntry",
    "Operation",
    "Patch",
    "PlatformReader",
    "Policy",
    "Refused",
    "QueryRoute",
    "Snapshot",
    "UpdateVerdict",
    "apply_patch",
    "check_document",
    "check_patch",
    "read_document",
    "read_full_document",
]
