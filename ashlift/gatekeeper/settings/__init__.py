"""Our own settings: what is off on the platform and turned on in a file of S-expressions.

`model` holds the typed settings and their defaults and needs no library: the platform's run loads no more.
`reader` (lark) turns a file into lists with positions, `schema` (msgspec) into the model, all faults told.
"""
