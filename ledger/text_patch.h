//===- text_patch.h - Differences between two texts -------------*- C++ -*-===//
//
// Encodes a text as a patch of another one, so that a small change of a large
// document takes few bytes. Intended for JSON: the ranges copied from the old
// text begin and end at braces. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_TEXT_PATCH_H
#define OLIVEVALVE_LEDGER_TEXT_PATCH_H

#include "google/protobuf/repeated_field.h"
#include "wire/wire.pb.h"
#include <optional>
#include <string>
#include <string_view>

namespace olivevalve {

using patch_steps = google::protobuf::RepeatedPtrField<wire::patch_step>;

/// Returns the steps that build \p New from \p Old.
patch_steps makePatch(std::string_view Old, std::string_view New);

/// Returns the patched text; none if a step copies a range outside \p Old or if
/// the result would be longer than \p MaxBytes.
std::optional<std::string>
applyPatch(std::string_view Old, const patch_steps &Steps, size_t MaxBytes);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_TEXT_PATCH_H
