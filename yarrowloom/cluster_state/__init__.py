"""The state of group 0: the operator's configuration, evacuated zones, core members, and who owns which minion."""
