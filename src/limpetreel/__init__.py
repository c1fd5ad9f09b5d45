"""Layer-4 load balancer whose decisions can be replayed."""
