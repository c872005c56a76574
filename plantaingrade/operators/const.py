"""Grammar of the operators' language, headers, and limits of documents."""

GRAMMAR = r"""
start: owner_of | show_servers | show_slices | show_config | show_decider
     | show_commands | move_key | move_keys | move_slice | drain | resume
     | retire

owner_of: "owner"i "of"i text "in"i NAME
show_servers: "show"i "servers"i ["of"i NAME]
show_slices: "show"i "slices"i "of"i NAME
show_config: "show"i "config"i
show_decider: "show"i "decider"i
show_commands: "show"i "commands"i
move_key: "move"i "key"i text "in"i NAME "to"i NAME
move_keys: "move"i "keys"i INT "to"i INT "of"i NAME "to"i NAME
move_slice: "move"i "slice"i INT "of"i NAME "to"i NAME
drain: "drain"i NAME
resume: "resume"i NAME
retire: "retire"i NAME

text: STRING | NAME
NAME: /[A-Za-z0-9][A-Za-z0-9._-]*/
STRING: /"[^"]*"/
%import common.INT
%import common.WS
%ignore WS
"""
HEADER_COMMAND_ID = b'x-command-id'
HEADER_OPERATOR = b'x-operator'
MAX_COMMAND_BYTES = 4096
MAX_DECLARATION_BYTES = 262_144
MIN_SLICES = 1
MAX_SLICES = 65_536
CONF_SERVICES = 'services'
CONF_SLICES = 'slices'
CONF_KEYED = 'keyed'
CONF_GRACE = 'unfenced_grace_ms'
CONF_TENANTS = 'tenants'
CONF_WEIGHTS = 'weights'
CONF_BUDGET = 'churn_budget'
DEFAULT_GRACE_MS = 400
MAX_GRACE_MS = 500
DEFAULT_CHURN_BUDGET = 0.03
