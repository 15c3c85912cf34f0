//===- text_patch.h - One text told by another ------------------*- C++ -*-===//
//
// What a large document becomes by a small change, in as many bytes as the
// change takes. Made for JSON: ranges of the old text begin and end at braces.
// Pure.
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

/// Steps that lead from \p Old to \p New.
patch_steps makePatch(std::string_view Old, std::string_view New);

/// None if a step names what \p Old does not have, or the result would be
/// longer than \p MostBytes.
std::optional<std::string>
applyPatch(std::string_view Old, const patch_steps &Steps, size_t MostBytes);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_TEXT_PATCH_H
