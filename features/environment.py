"""Clusters for the scenarios: one for each, or one for a feature tagged @shared."""

from standins.cluster import Cluster


def before_feature(context, feature):
    """Start one node for all scenarios of a shared feature."""
    if "shared" in feature.tags:
        context.cluster = Cluster()
        context.cluster.start_table()
        context.cluster.start_node("n1")


def after_feature(context, feature):
    """End the processes of a shared feature."""
    if "shared" in feature.tags:
        context.cluster.close()


def before_scenario(context, scenario):
    """Give each scenario of other features an empty cluster."""
    if "shared" not in scenario.feature.tags:
        context.cluster = Cluster()


def after_scenario(context, scenario):
    """End the processes of the scenario."""
    if "shared" not in scenario.feature.tags:
        context.cluster.close()
