//===- listener_probe.cpp - Checks whether a process listens --------------===//

#include "quarantine/listener_probe.h"
#include <utility>

namespace olivevalve {

namespace {

// A terminating process may close its connections before its listener, so the
// probe is repeated.
constexpr int MaxTries = 3;
constexpr double RetrySeconds = 0.05;
// For a connection to be established.
constexpr double ConnectWaitSeconds = 0.3;

} // namespace

listener_probe::listener_probe(struct ev_loop *Loop,
                               listener_probe_options NewOptions,
                               std::function<void(probe_result)> OnResult)
    : Loop(Loop), Options(std::move(NewOptions)), OnResult(std::move(OnResult)),
      Timer(Loop, [this] { connect(); }) {
  connect();
}

// Also called at the end of a wait: a connection that stayed open shows that a
// process is alive.
void listener_probe::connect() {
  if (Stream && Stream->open())
    return finish(Stream->connected() ? probe_result::Listens
                                      : probe_result::Unclear);
  ++Tries;
  Stream.emplace(Loop, Options.Address);
  Stream->OnConnected = [this] { Timer.startOnce(Options.OpenSeconds); };
  Stream->OnBytes = [](std::string_view) {};
  Stream->OnEnd = [this](bool) { onEnd(); };
  Timer.startOnce(ConnectWaitSeconds);
}

void listener_probe::onEnd() {
  if (Stream->refused())
    return finish(probe_result::Refused);
  if (Tries == MaxTries)
    return finish(probe_result::Unclear);
  Stream->close();
  Timer.startOnce(RetrySeconds);
}

void listener_probe::finish(probe_result Result) {
  Timer.stop();
  Stream->close();
  Done = true;
  OnResult(Result);
}

listener_probes::listener_probes(struct ev_loop *Loop)
    : Loop(Loop), Prepare(Loop, [this] {
        Probes.remove_if(
            [](const listener_probe &Each) { return Each.done(); });
      }) {}

void listener_probes::start(listener_probe_options Options,
                            std::function<void(probe_result)> OnResult) {
  Probes.emplace_back(Loop, std::move(Options), std::move(OnResult));
}

} // namespace olivevalve
