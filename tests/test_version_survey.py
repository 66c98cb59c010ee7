"""The nodes that the history of rules versions lists for each version."""

from .conftest import wait_until


def test_history_lists_the_nodes_with_a_version_in_force(cluster):
    """Guards against versions taken from member records, which lag behind.

    The history then listed 0 of 6 nodes for the version in force.
    """
    cluster.start_table()
    for node_id in ("n1", "n2", "n3"):
        cluster.start_node(node_id)
    body = {"base": 0, "text": "", "author": "otieno", "attempt": "attempt-1"}
    assert cluster.admin("n2", "/v1/config", "POST", body)[0] == 200
    for node_id in ("n1", "n3"):
        wait_until(lambda n=node_id: cluster.admin(n, "/v1/config")[1]["version"])
    _, response = cluster.admin("n1", "/v1/history")
    assert response["history"][0]["nodes"] == ["n1", "n2", "n3"]
    assert response["members"] == 3
    cluster.nodes["n3"].kill()
    _, response = cluster.admin("n1", "/v1/history")
    assert response["history"][0]["nodes"] == ["n1", "n2"]
