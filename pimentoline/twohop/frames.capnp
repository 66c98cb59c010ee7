@0xc1f7a3d5e2b49860;

# Header of a message between two nodes. Fields that a kind of message does not use are
# left at zero. `frames.py` defines the kinds and their fields.
struct Frame {
  kind @0 :UInt8;
  stream @1 :UInt32;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :Data;  # HTTP headers, one "name:value" a line
  callerService @6 :Text;
  goalMs @7 :Int32;  # time until the latency objective
  leftMs @8 :Int32;  # time until the deadline
  priority @9 :UInt8;  # 0 is the most urgent
  repeatable @10 :Bool;  # in a call: may run more than once; in a refusal: by the target
  lastResort @11 :Bool;
  status @12 :UInt16;
  reason @13 :Text;
  verdict @14 :UInt8;  # 0 not run, 1 may have run, 2 ran
  retryAfterMs @15 :UInt32;
  hasLoad @16 :Bool;  # whether the fields of the load report are set
  accepting @17 :Bool;
  running @18 :UInt16;
  queued @19 :UInt16;
  limit @20 :UInt16;
  delayMs @21 :UInt32;
  version @22 :UInt64;  # of the configuration
  node @23 :Text;
  bodyBytes @24 :UInt32;  # whole body, over all frames
  restMs @25 :UInt16;  # expected time until the noise of neighbours ends
  badRate @26 :UInt8;  # share of calls that fail, in 255ths
  coldMs @27 :UInt32;  # time until the target is no longer slow after its start
}
