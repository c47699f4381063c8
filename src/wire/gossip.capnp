# Gossip datagrams between nodes. The sender bounds their size; the receiver
# rejects messages that exceed its traversal limit.
@0xb3f1d2a94c5e6077;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jasminetray::wire");

struct Address {
  ip @0 :UInt32;
  gossipPort @1 :UInt16;
  entryPort @2 :UInt16;
  exitPort @3 :UInt16;
  rpcPort @4 :UInt16;
  adminPort @5 :UInt16;
}

struct Worker {
  id @0 :UInt64;
  service @1 :UInt64;
  scope @2 :UInt32;
  slots @3 :UInt16;
  severity @4 :UInt8;
  draining @5 :Bool;
  doubt @6 :UInt8;
  warmUpMs @7 :UInt16;
}

struct Summary {
  id @0 :UInt64;
  generation @1 :UInt64;
  sequence @2 :UInt32;
}

struct Node {
  summary @0 :Summary;
  boot @1 :UInt64;
  name @2 :Text;
  centre @3 :UInt32;
  leaving @4 :Bool;
  address @5 :Address;
  workers @6 :List(Worker);
  complaints @7 :List(UInt64);
}

struct Rumour {
  about @0 :Summary;
  state @1 :UInt8;
}

struct Report {
  seen @0 :Float64;
  failed @1 :Float64;
  above @2 :Float64;
  burstUs @3 :Int64;
  sourceShare @4 :Float64;
}

struct Load {
  worker @0 :UInt64;
  service @1 :UInt64;
  hundredths @2 :UInt16;
  workMs @3 :UInt32;
  doubt @4 :UInt8;
  suspect @5 :Bool;
  # Time relative to the service's mean, 0 if not told; knee, 0 for none; age of
  # the newest sample; a kind of requests, as the hash of its route, 0 for none,
  # and its median time there. Earlier builds ignore these five.
  speed @6 :Float32;
  knee @7 :UInt16;
  speedAgeMs @8 :UInt32;
  kind @9 :UInt32;
  kindUs @10 :UInt32;
}

struct Crash {
  request @0 :UInt64;
  process @1 :UInt64;
  ageMs @2 :UInt32;
  cleared @3 :Bool;
}

struct Message {
  kind @0 :UInt8;
  sender @1 :Summary;
  centre @2 :UInt32;
  configVersion @3 :UInt64;
  configHash @4 :UInt64;
  probe @5 :UInt64;
  target @6 :UInt64;
  targetAddress @7 :Address;
  records @8 :List(Node);
  rumours @9 :List(Rumour);
  digest @10 :List(UInt64);
  buckets @11 :UInt64;
  summaries @12 :List(Summary);
  want @13 :List(UInt64);
  ticket @14 :UInt64;
  service @15 :UInt64;
  back @16 :Int64;
  reports @17 :List(Report);
  about @18 :UInt32;
  loads @19 :List(Load);
  readsStore @20 :Bool;
  provenVersion @21 :UInt64;
  provenAt @22 :Int64;
  storeTime @23 :Int64;
  crashes @24 :List(Crash);
  crashDigest @25 :List(UInt64);
  crashReply @26 :Bool;
  configEra @27 :UInt64;
}
