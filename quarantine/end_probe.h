//===- end_probe.h - Whether anything listens at an address -----*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_END_PROBE_H
#define OLIVEVALVE_QUARANTINE_END_PROBE_H

#include "net/tcp_stream.h"
#include <optional>
#include <string>

namespace olivevalve {

/// Opens a connection and closes it. The callback is told once, unless an
/// answer stays away: then the process may have ended or not.
class end_probe {
public:
  end_probe(struct ev_loop *Loop, std::string Address,
            std::function<void(bool Refused)> OnResult);

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

#endif // OLIVEVALVE_QUARANTINE_END_PROBE_H
