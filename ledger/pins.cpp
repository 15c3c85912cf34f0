//===- pins.cpp - The version each session keeps --------------------------===//

#include "ledger/pins.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A session that was quiet this long starts anew.
constexpr uint32_t QuietSeconds = 3600;

// A client account cannot reach a pin of another, whatever sessions it names:
// the digest cannot be steered, and names of accounts hold no line break.
short_digest keyOf(const std::string &Account, const std::string &Key) {
  return shortDigest(Account + "\n" + Key);
}

} // namespace

uint32_t pin_table::numberOf(const std::string &Version) {
  auto [It, New] = Numbers.try_emplace(Version, uint32_t(Versions.size()));
  if (New)
    Versions.push_back(Version);
  return It->second;
}

wire::claim_result pin_table::claim(const wire::claim &Claim, double Now) {
  expire(Now);
  short_digest Key = keyOf(Claim.account(), Claim.key());
  auto [It, Fresh] = Pins.try_emplace(Key);
  pin &Pin = It->second;
  Pin.Touched = uint32_t(Now);
  if (Fresh)
    Line.push_back({Key, Pin.Touched});
  bool Replaces = !Fresh && !Claim.replaces().empty() &&
                  Versions[Pin.Version] == Claim.replaces();
  wire::claim_result Result;
  Result.set_won(Fresh || Replaces || Versions[Pin.Version] == Claim.value());
  if (Result.won())
    Pin.Version = numberOf(Claim.value());
  Result.set_value(Versions[Pin.Version]);
  return Result;
}

// A pin that was used since it was put in line goes to the end again.
void pin_table::expire(double Now) {
  while (!Line.empty() && Line.front().Touched + double(QuietSeconds) <= Now) {
    place Place = Line.front();
    Line.pop_front();
    auto It = Pins.find(Place.Key);
    if (It->second.Touched == Place.Touched) {
      Pins.erase(It);
      continue;
    }
    Line.push_back({Place.Key, It->second.Touched});
  }
}

void pin_table::save(wire::state_image &Image) const {
  for (const std::string &Version : Versions)
    Image.add_pin_versions(Version);
  for (const place &Place : Line) {
    const pin &Pin = Pins.at(Place.Key);
    wire::stored_pin *Out = Image.add_pins();
    Out->set_key_high(Place.Key[0]);
    Out->set_key_low(Place.Key[1]);
    Out->set_version(Pin.Version);
    Out->set_touched(Pin.Touched);
  }
}

void pin_table::put(const short_digest &Key, const std::string &Version,
                    uint32_t Touched) {
  Pins[Key] = {numberOf(Version), Touched};
  Line.push_back({Key, Touched});
}

// Images written before pins had a table of their own hold them among claims.
void pin_table::load(const wire::state_image &Image) {
  *this = {};
  for (const wire::stored_claim &In : Image.claims())
    if (In.space() == "session")
      put(keyOf(In.account(), In.key()), In.value(), uint32_t(In.touched()));
  for (const wire::stored_pin &In : Image.pins())
    if (In.version() < uint32_t(Image.pin_versions_size()))
      put({In.key_high(), In.key_low()}, Image.pin_versions(int(In.version())),
          In.touched());
  std::stable_sort(
      Line.begin(), Line.end(),
      [](const place &A, const place &B) { return A.Touched < B.Touched; });
}

} // namespace olivevalve
