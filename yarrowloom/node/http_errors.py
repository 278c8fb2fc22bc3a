"""Errors as HTTP answers."""

from typing import Any

from ..common.errors import YarrowError


def error_answer(*, error: YarrowError) -> tuple[int, dict[str, Any]]:
    """Status and JSON body that tell an error with all its findings."""
    findings = [str(finding) for finding in error.findings]
    return error.status, {"error": error.code, "text": error.text, "findings": findings}
