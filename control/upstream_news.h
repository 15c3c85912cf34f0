//===- upstream_news.h - The list of upstreams, for all gateways -*- C++ -*-==//
//
// The leader asks the platform for its list and tells it to the gateways, so
// that the platform has one caller instead of as many as there are gateways.
// After the first time a gateway is told only what has changed.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H
#define OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H

#include "platform/list_client.h"
#include "wire/wire.pb.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace olivevalve {

/// The list with its last changes. Pure. A revision names what is listed, so a
/// control VM that comes to lead has nothing to tell to gateways that hold the
/// same list from another.
class upstream_history {
public:
  /// Takes in a whole list; false if nothing has changed.
  bool take(const std::vector<platform::listed_upstream> &Listed);
  /// 0: nothing was listed yet.
  uint64_t revision() const { return Revision; }
  size_t size() const { return Entries.size(); }
  /// How many are listed in each data hall.
  std::map<std::string, size_t> byHall() const;
  /// True if that revision was listed since the start, and not too long ago.
  bool knows(uint64_t Held) const;
  /// What a holder of \p Held needs to be up to date; all of it if that
  /// revision is not known any more.
  wire::upstream_list since(uint64_t Held) const;

private:
  struct change {
    uint64_t Revision = 0; ///< That it led to.
    std::set<std::string> Ids;
  };

  uint64_t Revision = 0;
  std::map<std::string, platform::listed_upstream> Entries; ///< By id.
  std::deque<change> Changes;                               ///< Oldest first.
};

/// What a gateway holds of the list, as it said last.
struct held_upstreams {
  uint64_t Revision = 0;
  double HadAt = 0;       ///< When that list was true; steady seconds here.
  double ToldWholeAt = 0; ///< When the whole list was sent to it last.
};

class upstream_news {
public:
  /// \p Address: of the platform's list; empty: gateways ask for themselves.
  upstream_news(struct ev_loop *Loop, const std::string &Address);

  std::function<void()> OnChange; ///< The list is not what it was.

  std::map<std::string, size_t> byHall() const { return History.byHall(); }
  /// False: gateways have to ask for themselves.
  bool asks() const { return bool(Client); }
  /// Asks again when it is time; only while this VM \p Leads.
  void tick(double Now, bool Leads);
  /// Fills in the age of the list, and what has changed since the one that the
  /// gateway holds.
  void fill(const held_upstreams &Held, double Now, wire::notice &Notice) const;

private:
  std::unique_ptr<platform::list_client> Client;
  upstream_history History;
  double AskedAt = 0;
  double HadAt = 0; ///< When the question was asked that brought the list.
  double Period;    ///< Seconds between two questions.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H
