"""Load balancer for services whose load shifts within milliseconds."""

__version__ = "0.1.0"
