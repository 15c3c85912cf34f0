//===- upstream_news.h - The list of upstreams, for all gateways -*- C++ -*-==//
//
// The leader asks the platform for its list and tells it to the gateways, so
// that the platform has one caller instead of as many as there are gateways.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H
#define OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H

#include "platform/list_client.h"
#include "wire/wire.pb.h"
#include <functional>
#include <memory>

namespace olivevalve {

class upstream_news {
public:
  /// \p Address: of the platform's list; empty: gateways ask for themselves.
  upstream_news(struct ev_loop *Loop, const std::string &Address);

  std::function<void()> OnChange; ///< The list is not what it was.

  /// Asks again when it is time; only while this VM \p Leads.
  void tick(double Now, bool Leads);
  /// Fills in the age of the list, and the list itself for a gateway that
  /// holds another.
  void fill(uint64_t HeldRevision, double Now, wire::notice &Notice) const;

private:
  void take(const std::vector<platform::listed_upstream> &Listed);

  std::unique_ptr<platform::list_client> Client;
  wire::upstream_list List;
  uint64_t Revision = 0; ///< Digest of what was listed; 0: nothing yet.
  double AskedAt = 0;
  double HadAt = 0; ///< When the question was asked that brought the list.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_UPSTREAM_NEWS_H
