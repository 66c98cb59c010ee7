"""Load tests of the load balancer: load generator, experiments and reports."""
