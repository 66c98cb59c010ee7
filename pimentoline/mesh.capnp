@0xd3a1f2b4c5968778;

# Messages between nodes, each of which is one Envelope. codec.py converts them from and
# to the data classes in messages.py and model.py.

struct Address {
  ip @0 :Text;
  port @1 :UInt16;
}

# One running instance of a service. slots is the number of requests that it serves
# concurrently, and connections the number of connections that it accepts in total, from
# all nodes. loadPath is the path of the endpoint at which it reports its load, and
# version the release that it runs. state is starting, up, draining or gone.
struct Target {
  targetId @0 :Text;
  service @1 :Text;
  addr @2 :Address;
  slots @3 :UInt32;
  connections @4 :UInt32;
  state @5 :Text;
  loadPath @6 :Text;
  version @7 :Text;
}

# Record of one node in the mesh and of the targets on its host. incarnation is the
# node's start time in milliseconds, and seq rises with each new record that the node
# writes. rulesVersion was in force when the node wrote the record. status is alive,
# suspect, leaving or dead. ageMs is the time since the node left or died, otherwise 0.
struct Member {
  nodeId @0 :Text;
  host @1 :Text;
  addr @2 :Address;
  region @3 :Text;
  dc @4 :Text;
  incarnation @5 :UInt64;
  seq @6 :UInt64;
  status @7 :Text;
  targets @8 :List(Target);
  rulesVersion @9 :UInt64;
  ageMs @10 :UInt64;
}

# sender is a node id, incarnation the start time of that node in milliseconds, and
# rulesVersion the rules version in force there. rulesHeard is the highest rules version
# that the sender knows of (known_rules_version in messages.py). rulesConfirmed is true
# if the sender has verified its version since it booted, with the store or with a peer
# whose version is confirmed. The union is the body of the message:
#
#   none          never sent; receivers reject it
#   rumours       records of a Gossip message: those that have changed or that the
#                 receiver lacks; empty if only the sender's rules version has changed
#   rulesRequest  asks for the rules text if its version is at least this number
#   rulesReply    reply to rulesRequest: the rules text in force
#   ping          asks for an ack
#   pingReq       asks the receiver to ping another node (indirect ping of SWIM)
#   ack           reply to a ping
#   syncRequest   digests of the sender's member records, one for each hash bucket of
#                 node ids
#   syncReply     reply to syncRequest
#   rulesPush     asks the receiver to load a rules text that has just been accepted
#   rulesAck      reply to rulesPush: the rules version in force at the receiver
struct Envelope {
  protocol @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  rulesVersion @3 :UInt64;
  union {
    none @4 :Void;
    rumours @5 :List(Member);
    rulesRequest @6 :UInt64;
    rulesReply @7 :RulesText;
    ping @10 :Ping;
    pingReq @11 :Ping;
    ack @12 :Ping;
    syncRequest @13 :List(UInt64);
    syncReply @14 :SyncReply;
    rulesPush @15 :RulesText;
    rulesAck @16 :UInt64;
  }
  rulesHeard @8 :UInt64;
  rulesConfirmed @9 :Bool;
}

struct RulesText {
  version @0 :UInt64;
  body @1 :Data;
}

# In a pingReq, addr is the node to ping. In a ping or ack, it is the node that requested
# an indirect ping; it is unset for a direct ping.
struct Ping {
  id @0 :UInt64;
  addr @1 :Address;
}

# Numbers of the buckets whose digests differ, and all member records in them.
struct SyncReply {
  buckets @0 :List(UInt16);
  records @1 :List(Member);
}
