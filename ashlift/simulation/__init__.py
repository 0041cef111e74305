"""The whole system on simulated time: the real cores on made machines, links, workers, clients, operators."""
