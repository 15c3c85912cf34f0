//===- catalog.cpp - The complete configuration at one log index ----------===//

#include "catalog/catalog.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/fields.h"
#include <algorithm>
#include <set>

namespace olivevalve {

namespace {

// Most deletions recorded for deltas. A node whose copy is older than the
// recorded deletions gets a full copy.
constexpr size_t MaxRecordedDeletions = 4096;

absl::Status badReference(const object_key &Key, std::string_view What) {
  return makeError(error_kind::BadConfiguration,
                   Key.text() + ": " + std::string(What));
}

// Checks that referenced objects exist and that addresses, keys and path
// prefixes are unique: requests would be routed to the wrong upstream or
// counted for the wrong account otherwise.
class reference_checker {
public:
  explicit reference_checker(const catalog &Catalog) : Catalog(Catalog) {}

  absl::Status check(const object_key &Key, const document &Document) {
    return std::visit([&](const auto &Spec) { return checkOne(Key, Spec); },
                      Document);
  }

private:
  absl::Status checkOne(const object_key &, const model_spec &) {
    return absl::OkStatus();
  }

  absl::Status checkOne(const object_key &, const node_spec &) {
    return absl::OkStatus();
  }

  // Operators may delete a version or an upstream that a placement names;
  // control then updates the placement by itself.
  absl::Status checkOne(const object_key &, const placement_spec &) {
    return absl::OkStatus();
  }

  absl::Status checkOne(const object_key &Key, const template_spec &Spec) {
    if (Catalog.model(Spec.Name))
      return badReference(Key, "has the name of a model; names must differ");
    return checkVersions(Key, "candidates", Spec.Candidates);
  }

  absl::Status checkOne(const object_key &Key, const account_spec &Spec) {
    for (const std::string &Digest : Spec.KeyDigests)
      if (!Digests.insert(Digest).second)
        return badReference(Key, "key_digests: another account has this key");
    for (const std::string &Service : Spec.Services)
      if (!Catalog.objects().contains({"service", Service}))
        return badReference(Key, "services: no service " + Service);
    for (const auto &[Template, Parameters] : Spec.Templates)
      if (!Catalog.templateNamed(Template))
        return badReference(Key, "templates: no template " + Template);
    return checkVersions(Key, "models", Spec.Models);
  }

  absl::Status checkOne(const object_key &Key, const upstream_spec &Spec) {
    if (!Addresses.insert(Spec.Address).second)
      return badReference(Key, "address: " + Spec.Address +
                                   " is that of another upstream");
    if (!Spec.Service.empty() &&
        !Catalog.objects().contains({"service", Spec.Service}))
      return badReference(Key, "service: no service " + Spec.Service);
    for (const std::string &Model : Spec.Models)
      if (!Catalog.model(Model))
        return badReference(Key, "models: no model " + Model);
    return checkVersions(Key, "versions", Spec.Versions);
  }

  absl::Status checkOne(const object_key &Key, const service_spec &Spec) {
    if (!Prefixes.insert(Spec.PathPrefix).second)
      return badReference(Key, "path_prefix: another service has this prefix");
    return absl::OkStatus();
  }

  absl::Status checkVersions(const object_key &Key, std::string_view Field,
                             const std::vector<version_name> &Names) {
    for (const version_name &Name : Names) {
      bool Found = Name.Version.empty() ? Catalog.model(Name.Model) != nullptr
                                        : Catalog.version(Name) != nullptr;
      if (!Found)
        return badReference(Key, absl::StrCat(std::string(Field),
                                              ": no model or version ",
                                              Name.text()));
    }
    return absl::OkStatus();
  }

  const catalog &Catalog;
  std::set<std::string> Addresses;
  std::set<std::string> Digests;
  std::set<std::string> Prefixes;
};

} // namespace

template <typename Spec>
const Spec *catalog::find(std::string_view Kind,
                          const std::string &Name) const {
  auto It = Objects.find({std::string(Kind), Name});
  return It == Objects.end() ? nullptr
                             : std::get_if<Spec>(&It->second.Document);
}

const model_spec *catalog::model(const std::string &Name) const {
  return find<model_spec>("model", Name);
}

const template_spec *catalog::templateNamed(const std::string &Name) const {
  return find<template_spec>("template", Name);
}

const account_spec *catalog::account(const std::string &Name) const {
  return find<account_spec>("account", Name);
}

const upstream_spec *catalog::upstream(const std::string &Name) const {
  return find<upstream_spec>("upstream", Name);
}

const std::vector<version_name> &
catalog::versionsOf(const upstream_spec &Spec) const {
  static const std::vector<version_name> None;
  if (!Spec.managed())
    return Spec.Versions;
  const auto *Placement = find<placement_spec>("placement", Spec.Name);
  return Placement ? Placement->Versions : None;
}

const node_spec *catalog::node(const std::string &Name) const {
  return find<node_spec>("node", Name);
}

const version_spec *catalog::version(const version_name &Name) const {
  const model_spec *Model = model(Name.Model);
  if (!Model)
    return nullptr;
  auto It = Model->Versions.find(Name.Version);
  return It == Model->Versions.end() ? nullptr : &It->second;
}

const account_spec *
catalog::accountByKeyDigest(const std::string &Digest) const {
  auto It = AccountByDigest.find(Digest);
  return It == AccountByDigest.end() ? nullptr : account(It->second);
}

const service_spec *catalog::serviceForPath(std::string_view Path) const {
  const service_spec *Best = nullptr;
  forEach<service_spec>([&](const service_spec &Service) {
    bool Longer = !Best || Service.PathPrefix.size() > Best->PathPrefix.size();
    if (Path.starts_with(Service.PathPrefix) && Longer)
      Best = &Service;
  });
  return Best;
}

absl::Status
catalog::checkExpectedIndex(const wire::config_change &Change) const {
  object_key Key{Change.kind(), Change.name()};
  auto It = Objects.find(Key);
  uint64_t Present = It == Objects.end() ? 0 : It->second.Index;
  if (Change.check_index() && Change.expected_index() != Present)
    return makeError(error_kind::Conflict,
                     absl::StrCat(Key.text(), ": is at index ", Present,
                                  ", the change ", "expects index ",
                                  Change.expected_index(),
                                  "; read the object and retry"));
  if (Change.delete_() && It == Objects.end())
    return makeError(error_kind::NotFound, Key.text() + ": does not exist");
  return absl::OkStatus();
}

absl::Status catalog::checkReferences() const {
  reference_checker Checker(*this);
  for (const auto &[Key, Object] : Objects)
    if (absl::Status Status = Checker.check(Key, Object.Document); !Status.ok())
      return Status;
  return absl::OkStatus();
}

absl::Status catalog::put(const object_key &Key, const std::string &Text,
                          uint64_t AtIndex) {
  auto Document = parseDocument(Key.Kind, Key.Name, Text);
  if (!Document.ok())
    return Document.status();
  Objects[Key] = {AtIndex, Text, *std::move(Document)};
  Deleted.erase(Key);
  return absl::OkStatus();
}

void catalog::erase(const object_key &Key, uint64_t AtIndex) {
  Objects.erase(Key);
  Deleted[Key] = AtIndex;
  while (Deleted.size() > MaxRecordedDeletions) {
    auto Oldest = std::min_element(
        Deleted.begin(), Deleted.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    LastDroppedDeletion = Oldest->second;
    Deleted.erase(Oldest);
  }
}

void catalog::rebuildLookups() {
  AccountByDigest.clear();
  forEach<account_spec>([&](const account_spec &Account) {
    for (const std::string &Digest : Account.KeyDigests)
      AccountByDigest[Digest] = Account.Name;
  });
}

// Works on a copy, so that an error in any change leaves the catalog unchanged.
absl::Status catalog::applyChanges(const wire::change_set &Changes,
                                   uint64_t AtIndex) {
  if (Changes.changes().empty())
    return makeError(error_kind::BadConfiguration, "the change set is empty");
  catalog Next = *this;
  for (const wire::config_change &Change : Changes.changes()) {
    if (absl::Status Status = Next.checkExpectedIndex(Change); !Status.ok())
      return Status;
    object_key Key{Change.kind(), Change.name()};
    if (Change.delete_()) {
      Next.erase(Key, AtIndex);
      continue;
    }
    absl::Status Status = Next.put(Key, Change.document(), AtIndex);
    if (!Status.ok())
      return Status;
  }
  if (absl::Status Status = Next.checkReferences(); !Status.ok())
    return Status;
  Next.Index = AtIndex;
  Next.rebuildLookups();
  *this = std::move(Next);
  return absl::OkStatus();
}

void catalog::fillDelta(uint64_t Since, wire::config_delta &Delta) const {
  Delta.set_index(Index);
  Delta.set_whole(Since == 0 || Since < LastDroppedDeletion || Since > Index);
  for (const auto &[Key, Object] : Objects) {
    if (!Delta.whole() && Object.Index <= Since)
      continue;
    wire::config_object *Out = Delta.add_objects();
    Out->set_kind(Key.Kind);
    Out->set_name(Key.Name);
    Out->set_index(Object.Index);
    Out->set_document(Object.Text);
  }
  if (Delta.whole())
    return;
  for (const auto &[Key, AtIndex] : Deleted) {
    if (AtIndex <= Since)
      continue;
    wire::config_object *Out = Delta.add_objects();
    Out->set_kind(Key.Kind);
    Out->set_name(Key.Name);
    Out->set_index(AtIndex);
    Out->set_deleted(true);
  }
}

bool catalog::applyDelta(const wire::config_delta &Delta) {
  if (Delta.index() < Index)
    return false;
  catalog Next;
  if (!Delta.whole())
    Next = *this;
  for (const wire::config_object &Object : Delta.objects()) {
    object_key Key{Object.kind(), Object.name()};
    if (Object.deleted())
      Next.erase(Key, Object.index());
    else if (!Next.put(Key, Object.document(), Object.index()).ok())
      return false;
  }
  Next.Index = Delta.index();
  Next.rebuildLookups();
  *this = std::move(Next);
  return true;
}

} // namespace olivevalve
