"""A log whose warnings a test can look at."""

from yarrowloom.common.log import Log


class RecordedLog(Log):
    """Keeps the warnings: event and fields of each."""

    def __init__(self) -> None:
        super().__init__(name="recorded", level="error")
        self.rows: list[tuple[str, dict[str, object]]] = []

    def warn(self, event: str, **fields: object) -> None:
        self.rows.append((event, fields))
