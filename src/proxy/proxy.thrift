// Messages between the proxies of the nodes.
namespace cpp lycheethread.proxy.wire

// Record of the stream claims.<service>.
struct ClaimMessage {
  1: i32 kind            // 0 claim, 1 outcome, 2 release
  2: string key
  3: string token
  4: string digest
  5: i32 status
  6: string contentType
  7: optional binary body
}

// Payload of the gossip topic "crash".
struct CrashMessage {
  1: string digest
  2: string crash
  3: i32 weight          // 1 answered recently, 2 never answered
}
