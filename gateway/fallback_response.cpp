//===- fallback_response.cpp - Response kept during a model switch --------===//

#include "gateway/fallback_response.h"
#include <utility>

namespace olivevalve {

namespace {

// A full upstream refuses within some milliseconds, and short responses are
// complete within this time. Longer is not allowed: a request must not be
// processed by two upstreams for 0.4 s.
constexpr double KeepReceivingSeconds = 0.3;
// A response that is larger by then is received no further either; a model
// makes some kilobytes in this time.
constexpr size_t MaxKeptBytes = 256 << 10;

} // namespace

fallback_response::fallback_response(gateway_state &State,
                                     fallback_response_parts NewParts)
    : State(State), Parts(std::move(NewParts)),
      Timer(State.Loop, [this] { release(); }) {
  Parts.Connection->transferTo(*this);
  Timer.startOnce(KeepReceivingSeconds);
}

void fallback_response::release() {
  Timer.stop();
  if (!Parts.Upstream)
    return;
  if (Parts.Connection)
    Parts.Connection->drop();
  Parts.Connection = nullptr;
  --Parts.Upstream->InFlight;
  State.Peers->reportChange(*Parts.Upstream);
  Parts.Upstream = nullptr;
}

fallback_response_parts fallback_response::take(upstream_user &NewUser) {
  Timer.stop();
  if (Parts.Connection)
    Parts.Connection->transferTo(NewUser);
  return std::exchange(Parts, {});
}

void fallback_response::onAnswerHead(const http_head &,
                                     const platform::answer_facts &,
                                     body_content) {}

void fallback_response::onAnswerBytes(std::string_view NewBytes, size_t) {
  Bytes.append(NewBytes);
  if (Bytes.size() + Parts.Connection->heldBackBytes() > MaxKeptBytes)
    release();
}

void fallback_response::onAnswerEnd() {
  Parts.Connection = nullptr; // Idle now, or closed.
  Parts.Upstream->recordResponse();
  State.Reports->answered(Parts.Causes.Request);
  State.Reports->survived(Parts.Causes.Blocks, Parts.BegunAt);
  Complete = true;
  release();
}

void fallback_response::onBroken(broken_at Where) {
  Parts.Connection = nullptr;
  if (Where != broken_at::Garbled && !Parts.Upstream->leaving())
    State.Crashes->recordInterruptedRequest(
        watchedUpstream(*Parts.Upstream),
        {.Causes = Parts.Causes, .Begun = true, .SentAt = Parts.SentAt});
  release();
}

} // namespace olivevalve
