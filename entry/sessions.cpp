//===- sessions.cpp - Versions that sessions are pinned to ----------------===//

#include "entry/sessions.h"
#include "base/clock.h"

namespace olivevalve {

namespace {

// A cached pin is renewed at control after this time. The renewal also keeps it
// alive there, where a pin expires after an hour without one.
constexpr double CacheSeconds = 600;
// Bounds the cache; the oldest pins are dropped and queried again on demand.
constexpr size_t MaxCachedPins = 100000;
constexpr double RequestTimeoutSeconds = 4;

} // namespace

void sessions::expire(double Now) {
  while (!InsertionOrder.empty()) {
    auto It = Pins.find(InsertionOrder.front());
    bool Fresh = It != Pins.end() &&
                 Now < It->second.ConfirmedAt + CacheSeconds &&
                 Pins.size() <= MaxCachedPins;
    if (Fresh)
      return;
    if (It != Pins.end())
      Pins.erase(It);
    InsertionOrder.pop_front();
  }
}

std::optional<version_name> sessions::cachedPin(const session_key &Key) {
  expire(steadySeconds());
  auto It = Pins.find(Key);
  if (It == Pins.end())
    return std::nullopt;
  return It->second.Version;
}

void sessions::pin(const session_key &Key, const version_name &Wanted,
                   const std::optional<version_name> &Replaces,
                   std::function<void(std::optional<version_name>)> Done) {
  wire::envelope Message;
  wire::claim *Claim = Message.mutable_claim();
  Claim->set_space("session");
  Claim->set_account(Key.Account);
  Claim->set_key(Key.Model + "\n" + Key.Session);
  Claim->set_value(Wanted.text());
  if (Replaces)
    Claim->set_replaces(Replaces->text());
  Control.sendRequest(
      std::move(Message), RequestTimeoutSeconds,
      [this, Key, Done = std::move(Done)](const wire::envelope *A) {
        if (!A || !A->has_claim_result())
          return Done(std::nullopt);
        version_name Committed = parseVersionName(A->claim_result().value());
        if (!Pins.contains(Key))
          InsertionOrder.push_back(Key);
        Pins[Key] = {Committed, steadySeconds()};
        Done(Committed);
      });
}

} // namespace olivevalve
