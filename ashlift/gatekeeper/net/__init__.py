"""The platform's protocol on sockets: jobs in, claims out, the machine list and the text counter."""
