//===- spare_answer.cpp - An answer kept while a better one is asked ------===//

#include "gateway/spare_answer.h"
#include <utility>

namespace olivevalve {

namespace {

// A full upstream refuses within some milliseconds, and short answers are whole
// by then. A request must not go on at two upstreams for 0.4 s.
constexpr double HeardOnSeconds = 0.3;

} // namespace

spare_answer::spare_answer(gateway_state &State, spare_answer_parts NewParts)
    : State(State), Parts(std::move(NewParts)),
      Timer(State.Loop, [this] { release(); }) {
  Parts.Connection->handTo(*this);
  Timer.startOnce(HeardOnSeconds);
}

void spare_answer::release() {
  Timer.stop();
  if (!Parts.Upstream)
    return;
  if (Parts.Connection)
    Parts.Connection->drop();
  Parts.Connection = nullptr;
  --Parts.Upstream->InFlight;
  State.Peers->changed(*Parts.Upstream);
  Parts.Upstream = nullptr;
}

spare_answer_parts spare_answer::take(upstream_user &NewUser) {
  Timer.stop();
  if (Parts.Connection)
    Parts.Connection->handTo(NewUser);
  return std::exchange(Parts, {});
}

void spare_answer::onAnswerHead(const http_head &,
                                const platform::answer_facts &) {}

void spare_answer::onAnswerBytes(std::string_view More) {
  Bytes.append(Parts.Events.take(More));
}

void spare_answer::onAnswerEnd() {
  Parts.Connection = nullptr; // Free again, or closed.
  Parts.Upstream->answered();
  State.Reports->answered(Parts.Request);
  Bytes.append(Parts.Events.takeRest());
  Whole = true;
  release();
}

void spare_answer::onBroken(broken_at Where) {
  Parts.Connection = nullptr;
  if (Where != broken_at::Garbled && !Parts.Upstream->leaving())
    State.Crashes->brokeOff(watched(*Parts.Upstream), Parts.Request);
  release();
}

} // namespace olivevalve
