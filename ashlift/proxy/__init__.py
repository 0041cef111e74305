"""The proxy, the data plane on edge machines: client connections, routing, load balancing and retries."""
