"""behave hooks: a cluster for each scenario, or for each feature tagged @shared."""

from standins.cluster import Cluster


def before_feature(context, feature):
    """Start a cluster with one node for all scenarios of a shared feature."""
    if "shared" in feature.tags:
        context.cluster = Cluster()
        context.cluster.start_table()
        context.cluster.start_node("n1")


def after_feature(context, feature):
    """Stop the cluster of a shared feature."""
    if "shared" in feature.tags:
        context.cluster.close()


def before_scenario(context, scenario):
    """Create an empty cluster for a scenario of another feature."""
    if "shared" not in scenario.feature.tags:
        context.cluster = Cluster()


def after_scenario(context, scenario):
    """Stop the cluster of the scenario."""
    if "shared" not in scenario.feature.tags:
        context.cluster.close()
