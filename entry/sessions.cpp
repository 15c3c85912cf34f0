//===- sessions.cpp - Sessions keep their version -------------------------===//

#include "entry/sessions.h"
#include "base/clock.h"

namespace olivevalve {

namespace {

// After this a pin is asked for again, which also keeps it alive at control;
// an hour without that ends it there.
constexpr double KnownSeconds = 600;
// Pins kept; the oldest are asked for again when needed.
constexpr size_t MostPins = 100000;
constexpr double AskSeconds = 4;

} // namespace

void sessions::expire(double Now) {
  while (!Order.empty()) {
    auto It = Pins.find(Order.front());
    bool Fresh = It != Pins.end() && Now < It->second.At + KnownSeconds &&
                 Pins.size() <= MostPins;
    if (Fresh)
      return;
    if (It != Pins.end())
      Pins.erase(It);
    Order.pop_front();
  }
}

std::optional<version_name> sessions::known(const session_key &Key) {
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
  Control.ask(std::move(Message), AskSeconds,
              [this, Key, Done = std::move(Done)](const wire::envelope *A) {
                if (!A || !A->has_claim_result())
                  return Done(std::nullopt);
                version_name Stands =
                    parseVersionName(A->claim_result().value());
                if (!Pins.contains(Key))
                  Order.push_back(Key);
                Pins[Key] = {Stands, steadySeconds()};
                Done(Stands);
              });
}

} // namespace olivevalve
