# Questions that nodes and operators ask a node, over TCP.
@0xd8e4a1b7306c9f52;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jasminetray::wire");

interface Peer {
  # Whether an attempt ran; one that did not never will.
  revoke @0 (attempt :Text, boot :UInt64) -> (reply :UInt8);

  # A manifest or a chunk of a configuration by the hash of its content.
  chunk @1 (hash :UInt64) -> (found :Bool, data :Data);

  # Any question of an operator; request and answer are JSON.
  query @2 (request :Text) -> (answer :Text);
}
