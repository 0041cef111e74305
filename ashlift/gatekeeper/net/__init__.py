"""Network adapters: the HTTP front, attempts at execute nodes, the machine list and the text counter."""
