//===- listener_probe.cpp - Checks whether a process listens --------------===//

#include "quarantine/listener_probe.h"
#include <utility>

namespace olivevalve {

namespace {

// A terminating process may close its connections before its listener, so the
// probe is repeated.
constexpr int MaxTries = 3;
constexpr double RetrySeconds = 0.05;
// For a connection to be established, and to stay open.
constexpr double ConnectWaitSeconds = 0.3;

} // namespace

listener_probe::listener_probe(struct ev_loop *Loop, std::string NewAddress,
                               std::function<void(bool Refused)> OnResult)
    : Loop(Loop), Address(std::move(NewAddress)), OnResult(std::move(OnResult)),
      Timer(Loop, [this] { connect(); }) {
  connect();
}

// Also called at the end of a wait: a connection that stayed open shows that a
// process is alive.
void listener_probe::connect() {
  if (Stream && Stream->open())
    return finish(Stream->connected() ? std::optional(false) : std::nullopt);
  ++Tries;
  Stream.emplace(Loop, Address);
  Stream->OnBytes = [](std::string_view) {};
  Stream->OnEnd = [this](bool) { onEnd(); };
  Timer.startOnce(ConnectWaitSeconds);
}

void listener_probe::onEnd() {
  if (Stream->refused())
    return finish(true);
  if (Tries == MaxTries)
    return finish(std::nullopt);
  Stream->close();
  Timer.startOnce(RetrySeconds);
}

void listener_probe::finish(std::optional<bool> Refused) {
  Timer.stop();
  Stream->close();
  Done = true;
  if (Refused)
    OnResult(*Refused);
}

} // namespace olivevalve
