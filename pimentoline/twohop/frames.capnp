@0xc1f7a3d5e2b49860;

# Header of a frame, which is a message between two nodes and consists of this header and
# a body. The body of a large call or response is split over several frames. Fields that a
# kind of frame does not use are left at zero. `frames.py` defines the kinds and their
# fields, and `LoadReport` in `model.py` describes the fields of the load report.
struct Frame {
  kind @0 :UInt8;  # index in `FRAME_TYPES` of frames.py
  stream @1 :UInt32;  # identifies a call, or a status to hold, on its connection
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :Data;  # HTTP headers, one "name:value" per line
  callerService @6 :Text;
  goalMs @7 :Int32;  # time until the latency objective is missed
  leftMs @8 :Int32;  # time until the deadline
  priority @9 :UInt8;  # 0 is the most urgent
  # In a call: whether it may run more than once. In a refusal of a call: whether the
  # target refused it; otherwise, its node did.
  repeatable @10 :Bool;
  lastResort @11 :Bool;  # whether to accept the call even if its response will be late
  status @12 :UInt16;  # of the HTTP response
  reason @13 :Text;  # HTTP reason phrase, or why a call was refused or has failed
  verdict @14 :UInt8;  # of a failed call at the target: 0 not run, 1 may have run, 2 ran
  retryAfterMs @15 :UInt32;
  hasLoad @16 :Bool;  # whether the fields of the load report are set
  accepting @17 :Bool;
  running @18 :UInt16;
  queued @19 :UInt16;
  limit @20 :UInt16;
  delayMs @21 :UInt32;  # expected time until a new call has its response
  version @22 :UInt64;  # of the configuration
  node @23 :Text;  # name of the sender, or of the node whose target's status follows
  bodyBytes @24 :UInt32;  # size of the whole body, over all its frames
  restMs @25 :UInt16;  # expected time until noisy neighbours stop
  badRate @26 :UInt8;  # share of calls that fail, in 255ths
  coldMs @27 :UInt32;  # time until the target is no longer slow after its start
  configRead @28 :Bool;  # whether the sender has just read the configuration's table
}
