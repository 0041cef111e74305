"""Methods of the simulated registry that replace HTTP requests of workers, clients and operators."""

import enum


class RegistryMethod(enum.StrEnum):
    """Registry calls of workers, clients and operators; with real processes the lab sends HTTP requests."""

    LOOKUP = "lookup"
    HEARTBEAT = "heartbeat"
    DEREGISTER = "deregister"
    READ_CONFIG = "read_config"
    OPERATOR_COMMAND = "operator_command"
    EDIT_ROUTE = "edit_route"
    DECIDE_EDIT = "decide_edit"
