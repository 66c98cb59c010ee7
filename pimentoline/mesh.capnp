@0xd3a1f2b4c5968778;

# Messages between nodes; messages.py and model.py describe their fields.

struct Address {
  ip @0 :Text;
  port @1 :UInt16;
}

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

# rumours contains the records of a Gossip message. rulesHeard is the highest rules
# version that the sender knows of (known_rules_version in messages.py).
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

struct SyncReply {
  buckets @0 :List(UInt16);
  records @1 :List(Member);
}
