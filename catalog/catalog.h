//===- catalog.h - The complete configuration at one log index --*- C++ -*-===//
//
// Holds all configuration documents. Each object has the log index of its last
// change as its only version number, and the catalog has the index of the
// newest change. References between objects are checked after each set of
// changes, so that an accepted configuration has no dangling ones.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_CATALOG_H
#define OLIVEVALVE_CATALOG_CATALOG_H

#include "catalog/document.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>

namespace olivevalve {

/// Identifies one object.
struct object_key {
  std::string Kind; ///< One of KindNames.
  std::string Name;
  auto operator<=>(const object_key &) const = default;
  std::string text() const { return Kind + "/" + Name; }
};

/// One object with its source text.
struct stored_object {
  uint64_t Index = 0; ///< Log index of the last change.
  std::string Text;   ///< JSON as sent by the operator.
  document Document;
};

class catalog {
public:
  /// Log index of the newest change; 0: none yet.
  uint64_t index() const { return Index; }
  const std::map<object_key, stored_object> &objects() const { return Objects; }

  // Each of these returns null if there is no such object.
  const model_spec *model(const std::string &Name) const;
  const template_spec *templateNamed(const std::string &Name) const;
  const account_spec *account(const std::string &Name) const;
  const upstream_spec *upstream(const std::string &Name) const;
  const node_spec *node(const std::string &Name) const;
  /// The versions in the upstream's own document, or, if it is managed, those
  /// that control has assigned to it.
  const std::vector<version_name> &versionsOf(const upstream_spec &Spec) const;
  const version_spec *version(const version_name &Name) const;
  /// The client account with this key digest, or null.
  const account_spec *accountByKeyDigest(const std::string &Digest) const;
  /// The plain service with the longest path prefix of \p Path, or null.
  const service_spec *serviceForPath(std::string_view Path) const;
  /// Calls \p Each with every object of type Spec.
  template <typename Spec, typename Function>
  void forEach(Function Each) const {
    for (const auto &[Key, Object] : Objects)
      if (const auto *S = std::get_if<Spec>(&Object.Document))
        Each(*S);
  }

  /// Applies all of \p Changes at \p AtIndex, or none of them. Conflict: an
  /// object is not at the expected index. NotFound: an object to be deleted
  /// does not exist. BadConfiguration: a document or a reference is not valid,
  /// or there are no changes.
  absl::Status applyChanges(const wire::change_set &Changes, uint64_t AtIndex);

  /// Writes the objects changed or deleted after index \p Since. The delta is a
  /// full copy if \p Since is 0, newer than the catalog, or older than the
  /// deletions still recorded.
  void fillDelta(uint64_t Since, wire::config_delta &Delta) const;
  /// Applies a delta. False, with nothing changed, if it is older than the
  /// catalog or a document in it cannot be parsed.
  bool applyDelta(const wire::config_delta &Delta);

private:
  absl::Status checkExpectedIndex(const wire::config_change &Change) const;
  absl::Status checkReferences() const;
  absl::Status put(const object_key &Key, const std::string &Text,
                   uint64_t AtIndex);
  void erase(const object_key &Key, uint64_t AtIndex);
  void rebuildLookups();
  template <typename Spec>
  const Spec *find(std::string_view Kind, const std::string &Name) const;

  uint64_t Index = 0;
  std::map<object_key, stored_object> Objects;
  std::map<object_key, uint64_t> Deleted; ///< Index of each recorded deletion.
  /// Deletions up to this index are no longer recorded in Deleted.
  uint64_t LastDroppedDeletion = 0;
  std::map<std::string, std::string> AccountByDigest; ///< Account name.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_CATALOG_H
