//===- session_pins.h - Where a session was served last ---------*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_SESSION_PINS_H
#define OLIVEVALVE_GATEWAY_SESSION_PINS_H

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace olivevalve {

struct session_pin {
  std::string Version; ///< Software of the upstream.
  double TouchedAt = 0;
};

/// Sessions of this entry by service and name; forgotten some time after their
/// last request.
class session_pins {
public:
  void setLifetime(double Seconds) { Lifetime = Seconds; }

  const session_pin *find(const std::string &Service,
                          const std::string &Session, double Now) const {
    auto It = Pins.find(keyOf(Service, Session));
    bool Fresh = It != Pins.end() && Now < It->second.TouchedAt + Lifetime;
    return Fresh ? &It->second : nullptr;
  }
  void touch(const std::string &Service, const std::string &Session,
             session_pin Pin) {
    Pins[keyOf(Service, Session)] = std::move(Pin);
  }
  /// A session that a canary must not take over; to be told to the others.
  void stay(uint64_t Key, double Now) {
    if (Staying.insert_or_assign(Key, Now).second)
      Untold.push_back(Key);
  }
  /// The same, as another gateway told.
  void heardStaying(uint64_t Key, double Now) {
    Staying.insert_or_assign(Key, Now);
  }
  bool stays(uint64_t Key, double Now) const {
    auto It = Staying.find(Key);
    return It != Staying.end() && Now < It->second + Lifetime;
  }
  std::vector<uint64_t> takeUntold() { return std::exchange(Untold, {}); }
  void forgetOld(double Now) {
    std::erase_if(Staying, [&](const auto &Each) {
      return Now > Each.second + Lifetime;
    });
    std::erase_if(Pins, [&](const auto &Pin) {
      return Now > Pin.second.TouchedAt + Lifetime;
    });
  }
  size_t size() const { return Pins.size(); }

private:
  // A zero byte is in neither name.
  static std::string keyOf(const std::string &Service,
                           const std::string &Session) {
    return Service + '\0' + Session;
  }

  std::unordered_map<std::string, session_pin> Pins;
  /// When each was last known to be served by the settled version.
  std::unordered_map<uint64_t, double> Staying;
  std::vector<uint64_t> Untold;
  double Lifetime = 10;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SESSION_PINS_H
