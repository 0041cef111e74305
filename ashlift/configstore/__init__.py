"""The store: the operator's word under agreement, on a majority of disks. It never sees traffic."""
