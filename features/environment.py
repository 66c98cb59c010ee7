"""behave hooks: one cluster per scenario, or per feature if it is tagged @shared."""

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
    """Create an empty cluster, unless the feature shares one."""
    if "shared" not in scenario.feature.tags:
        context.cluster = Cluster()


def after_scenario(context, scenario):
    """Stop the cluster of the scenario, unless the feature shares it."""
    if "shared" not in scenario.feature.tags:
        context.cluster.close()
