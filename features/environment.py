"""Fixtures of the features: the same cluster as in the tests."""

from standins.cluster import Cluster


def before_scenario(context, scenario):
    """Give each scenario an empty cluster."""
    context.cluster = Cluster()


def after_scenario(context, scenario):
    """End the processes of the scenario."""
    context.cluster.close()
