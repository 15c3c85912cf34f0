//===- catalog.h - The whole configuration at one index ---------*- C++ -*-===//
//
// The aggregate of all documents. Each object carries the log index of its
// last change, which is its only version number; the catalog carries the index
// of the last change of all. References between objects are checked as a
// whole, so that no accepted configuration points at nothing.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_CATALOG_H
#define OLIVEVALVE_CATALOG_CATALOG_H

#include "catalog/document.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>

namespace olivevalve {

/// Names one object.
struct object_key {
  std::string Kind;
  std::string Name;
  auto operator<=>(const object_key &) const = default;
  std::string text() const { return Kind + "/" + Name; }
};

/// One object as it was written, with the index of its last change.
struct stored_object {
  uint64_t Index = 0;
  std::string Text;
  document Document;
};

class catalog {
public:
  uint64_t index() const { return Index; }
  const std::map<object_key, stored_object> &objects() const { return Objects; }

  /// The parsed object, or null.
  const model_spec *model(const std::string &Name) const;
  const template_spec *templateNamed(const std::string &Name) const;
  const account_spec *account(const std::string &Name) const;
  const upstream_spec *upstream(const std::string &Name) const;
  const node_spec *node(const std::string &Name) const;
  /// The versions that an upstream serves, or has been assigned.
  const std::vector<version_name> &versionsOf(const upstream_spec &Spec) const;
  const version_spec *version(const version_name &Name) const;
  /// The client account that owns the key, or null.
  const account_spec *accountByKeyDigest(const std::string &Digest) const;
  /// The plain service whose prefix \p Path starts with, or null.
  const service_spec *serviceForPath(std::string_view Path) const;
  /// Calls \p Each with every object of type Spec.
  template <typename Spec, typename Function>
  void forEach(Function Each) const {
    for (const auto &[Key, Object] : Objects)
      if (const auto *S = std::get_if<Spec>(&Object.Document))
        Each(*S);
  }

  /// Checks \p Changes against the objects held (expected indexes, documents,
  /// references) and, if all are good, applies all of them at \p AtIndex.
  absl::Status applyChanges(const wire::change_set &Changes, uint64_t AtIndex);

  /// The objects changed after \p Since; a whole copy when \p Since is 0 or
  /// older than the deletions that are remembered.
  void fillDelta(uint64_t Since, wire::config_delta &Delta) const;
  /// Takes a delta over; false if it would revert or has a gap.
  bool applyDelta(const wire::config_delta &Delta);

private:
  absl::Status checkExpected(const wire::config_change &Change) const;
  absl::Status checkReferences() const;
  absl::Status put(const object_key &Key, const std::string &Text,
                   uint64_t AtIndex);
  void erase(const object_key &Key, uint64_t AtIndex);
  void rebuildLookups();
  template <typename Spec>
  const Spec *find(std::string_view Kind, const std::string &Name) const;

  uint64_t Index = 0;
  std::map<object_key, stored_object> Objects;
  std::map<object_key, uint64_t> Deleted;
  uint64_t OldestDeletion = 0; ///< Deletions up to here are forgotten.
  std::map<std::string, std::string> AccountByDigest;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_CATALOG_H
