# RPC interface of a node, for other nodes and the command line tool.
@0xd8e4a1b7306c9f52;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jasminetray::wire");

interface Peer {
  # Reports whether an attempt has started, and prevents its start if not.
  revoke @0 (attempt :Text, boot :UInt64) -> (reply :UInt8);

  # Returns a configuration manifest or chunk by its content hash.
  chunk @1 (hash :UInt64) -> (found :Bool, data :Data);

  # Runs an operator's query or command; request and answer are JSON.
  query @2 (request :Text) -> (answer :Text);
}
