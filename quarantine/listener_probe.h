//===- listener_probe.h - Checks whether a process listens ------*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H
#define OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H

#include "net/tcp_stream.h"
#include <optional>
#include <string>

namespace olivevalve {

/// Opens a connection to an address and closes it. The callback is called once
/// with the result, or never if the result is unclear and the process may have
/// crashed or not.
class listener_probe {
public:
  listener_probe(struct ev_loop *Loop, std::string Address,
                 std::function<void(bool Refused)> OnResult);

  /// True once the probe is over, with or without a result.
  bool done() const { return Done; }

private:
  void connect();
  void onEnd();
  void finish(std::optional<bool> Refused);

  struct ev_loop *Loop;
  std::string Address;
  std::function<void(bool)> OnResult;
  std::optional<tcp_stream> Stream;
  timer Timer;
  int Tries = 0;
  bool Done = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H
