@0xd0c6a5c1f2b7e913;

# Calls between chestnutloft's own processes. Payloads are the typed messages of
# crates/wire/src/message.rs in postcard encoding, the encoding that the journal uses too.

interface Peer {
  call @0 (proof :Data, method :Method, payload :Data) -> (status :Status, payload :Data);

  enum Method {
    replicate @0;  # keeper to keeper: messages of the consensus protocol
    run @1;        # entry to keeper: commands for the state machine
    beat @2;       # entry to keeper: heartbeat for a lease
    exchange @3;   # entry to entry: endpoint records
    credit @4;     # entry to entry: slots of cold endpoints
    watch @5;      # entry to keeper: long poll for changes of the routing state
    join @6;       # keeper to keeper: requests to become a member
    share @7;      # entry to keeper: load that the entry puts on endpoints
  }

  enum Status {
    ok @0;
    notMember @1;   # the proof does not match this cluster
    notHere @2;     # this process does not serve the method
    malformed @3;   # the payload cannot be decoded
  }
}
