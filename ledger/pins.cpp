//===- pins.cpp - Versions that sessions are pinned to --------------------===//

#include "ledger/pins.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A session without a request for this long loses its pin.
constexpr uint32_t IdleTimeoutSeconds = 3600;

// Key of a pin. A client account cannot access the pin of another one by its
// choice of session names: names of accounts contain no line break, and digest
// collisions cannot be constructed.
short_digest keyOf(const std::string &Account, const std::string &Key) {
  return shortDigest(Account + "\n" + Key);
}

} // namespace

uint32_t pin_table::versionIndex(const std::string &Version) {
  auto [It, New] =
      VersionIndexes.try_emplace(Version, uint32_t(Versions.size()));
  if (New)
    Versions.push_back(Version);
  return It->second;
}

wire::claim_result pin_table::claim(const wire::claim &Claim, double Now) {
  expire(Now);
  short_digest Key = keyOf(Claim.account(), Claim.key());
  auto [It, IsNew] = Pins.try_emplace(Key);
  pin &Pin = It->second;
  Pin.Touched = uint32_t(Now);
  if (IsNew)
    ExpiryQueue.push_back({Key, Pin.Touched});
  bool Replaces = !IsNew && !Claim.replaces().empty() &&
                  Versions[Pin.Version] == Claim.replaces();
  wire::claim_result Result;
  Result.set_won(IsNew || Replaces || Versions[Pin.Version] == Claim.value());
  if (Result.won())
    Pin.Version = versionIndex(Claim.value());
  Result.set_value(Versions[Pin.Version]);
  return Result;
}

// A pin that was used after it was queued goes to the end of the queue again.
void pin_table::expire(double Now) {
  while (!ExpiryQueue.empty() &&
         ExpiryQueue.front().Touched + double(IdleTimeoutSeconds) <= Now) {
    queue_entry Oldest = ExpiryQueue.front();
    ExpiryQueue.pop_front();
    auto It = Pins.find(Oldest.Key);
    if (It->second.Touched == Oldest.Touched) {
      Pins.erase(It);
      continue;
    }
    ExpiryQueue.push_back({Oldest.Key, It->second.Touched});
  }
}

void pin_table::save(wire::state_image &Image) const {
  for (const std::string &Version : Versions)
    Image.add_pin_versions(Version);
  for (const queue_entry &Oldest : ExpiryQueue) {
    const pin &Pin = Pins.at(Oldest.Key);
    wire::stored_pin *Out = Image.add_pins();
    Out->set_key_high(Oldest.Key[0]);
    Out->set_key_low(Oldest.Key[1]);
    Out->set_version(Pin.Version);
    Out->set_touched(Pin.Touched);
  }
}

void pin_table::insert(const short_digest &Key, const std::string &Version,
                       uint32_t Touched) {
  Pins[Key] = {versionIndex(Version), Touched};
  ExpiryQueue.push_back({Key, Touched});
}

// Older images hold pins as claims in the space "session".
void pin_table::load(const wire::state_image &Image) {
  *this = {};
  for (const wire::stored_claim &In : Image.claims())
    if (In.space() == "session")
      insert(keyOf(In.account(), In.key()), In.value(), uint32_t(In.touched()));
  for (const wire::stored_pin &In : Image.pins())
    if (In.version() < uint32_t(Image.pin_versions_size()))
      insert({In.key_high(), In.key_low()},
             Image.pin_versions(int(In.version())), In.touched());
  std::stable_sort(ExpiryQueue.begin(), ExpiryQueue.end(),
                   [](const queue_entry &A, const queue_entry &B) {
                     return A.Touched < B.Touched;
                   });
}

} // namespace olivevalve
