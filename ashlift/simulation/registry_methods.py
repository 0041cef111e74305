"""Methods of the registry that stand for HTTP requests of workers, clients and operators."""

import enum


class RegistryMethod(enum.StrEnum):
    """What the simulator's actors call; on real processes the lab makes HTTP requests of them."""

    LOOKUP = "lookup"
    HEARTBEAT = "heartbeat"
    DEREGISTER = "deregister"
    READ_CONFIG = "read_config"
    OPERATOR_COMMAND = "operator_command"
    EDIT_ROUTE = "edit_route"
    DECIDE_EDIT = "decide_edit"
