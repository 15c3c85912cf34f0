//===- routing_book.h - The routing document in control's log ---*- C++ -*-===//
//
// The document in force, as the operator sent it, and the changes that lead
// from one to the next. The highest version wins. Part of the replicated
// state.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_ROUTING_BOOK_H
#define OLIVEVALVE_LEDGER_ROUTING_BOOK_H

#include "absl/status/status.h"
#include "wire/wire.pb.h"
#include <string>

namespace olivevalve {

class routing_book {
public:
  uint64_t version() const { return Current.version(); }
  const std::string &document() const { return Current.document(); }

  /// Error: the change does not fit what is held; nothing is changed.
  absl::Status apply(const wire::routing_change &Change);

  void save(wire::state_image &Image) const {
    *Image.mutable_routing() = Current;
  }
  void load(const wire::state_image &Image) { Current = Image.routing(); }

private:
  wire::routing_change Current; ///< With the whole document.
};

/// The change to \p Version with \p Document, told by what differs from
/// \p Base where that is shorter.
wire::routing_change makeChange(uint64_t BaseVersion, const std::string &Base,
                                uint64_t Version, const std::string &Document);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_ROUTING_BOOK_H
