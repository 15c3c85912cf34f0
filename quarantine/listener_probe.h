//===- listener_probe.h - Checks whether a process listens ------*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H
#define OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H

#include "net/tcp_stream.h"
#include <list>
#include <optional>
#include <string>

namespace olivevalve {

enum class probe_result : uint8_t {
  Listens,
  Refused, ///< No process listens at the address.
  Unclear  ///< Neither was shown in time.
};

/// Within this time a process that exits has closed its listener as well, if it
/// closes its connections first.
constexpr double ExitSeconds = 0.02;

struct listener_probe_options {
  std::string Address;
  /// How long the connection must stay open: a process that exits may close its
  /// listener last.
  double OpenSeconds = 0.3;
};

/// Opens a connection to an address and closes it. The callback is called once,
/// within a second.
class listener_probe {
public:
  listener_probe(struct ev_loop *Loop, listener_probe_options Options,
                 std::function<void(probe_result)> OnResult);

  /// True once the callback has been called.
  bool done() const { return Done; }

private:
  void connect();
  void onEnd();
  void finish(probe_result Result);

  struct ev_loop *Loop;
  listener_probe_options Options;
  std::function<void(probe_result)> OnResult;
  std::optional<tcp_stream> Stream;
  timer Timer;
  int Tries = 0;
  bool Done = false;
};

/// Owns probes until their callbacks have been called.
class listener_probes {
public:
  explicit listener_probes(struct ev_loop *Loop);

  void start(listener_probe_options Options,
             std::function<void(probe_result)> OnResult);

private:
  struct ev_loop *Loop;
  std::list<listener_probe> Probes;
  // Destroyed before the event loop's next wait, as none may be destroyed
  // within its own callback.
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_LISTENER_PROBE_H
