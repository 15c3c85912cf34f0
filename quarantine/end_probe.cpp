//===- end_probe.cpp - Whether anything listens at an address -------------===//

#include "quarantine/end_probe.h"
#include <utility>

namespace olivevalve {

namespace {

// A process that is ending may close its connections before its listener.
constexpr int MostTries = 3;
constexpr double PauseSeconds = 0.05;
// For a connection to come up, and to stay up.
constexpr double WaitSeconds = 0.3;

} // namespace

end_probe::end_probe(struct ev_loop *Loop, std::string NewAddress,
                     std::function<void(bool Refused)> OnResult)
    : Loop(Loop), Address(std::move(NewAddress)), OnResult(std::move(OnResult)),
      Timer(Loop, [this] { connect(); }) {
  connect();
}

// Also the end of a wait: a connection that stayed up has a process behind it.
void end_probe::connect() {
  if (Stream && Stream->open())
    return finish(Stream->connected() ? std::optional(false) : std::nullopt);
  ++Tries;
  Stream.emplace(Loop, Address);
  Stream->OnBytes = [](std::string_view) {};
  Stream->OnEnd = [this](bool) { onEnd(); };
  Timer.startOnce(WaitSeconds);
}

void end_probe::onEnd() {
  if (Stream->refused())
    return finish(true);
  if (Tries == MostTries)
    return finish(std::nullopt);
  Stream->close();
  Timer.startOnce(PauseSeconds);
}

void end_probe::finish(std::optional<bool> Refused) {
  Timer.stop();
  Stream->close();
  Done = true;
  if (Refused)
    OnResult(*Refused);
}

} // namespace olivevalve
