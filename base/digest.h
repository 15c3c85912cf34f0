//===- digest.h - Checksums and secret digests ------------------*- C++ -*-===//

#ifndef OLIVEVALVE_BASE_DIGEST_H
#define OLIVEVALVE_BASE_DIGEST_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace olivevalve {

/// XXH3, 64 bits; for checksums and placement, never for secrets.
uint64_t checksum(std::string_view Bytes, uint64_t Seed = 0);

using short_digest = std::array<uint64_t, 2>;
/// BLAKE2b, 128 bits; names what strangers choose, so that none can choose a
/// name that another has.
short_digest shortDigest(std::string_view Bytes);

/// 32 hexadecimal digits.
std::string hexOf(const short_digest &Digest);
/// Nothing if \p Text is anything else.
std::optional<short_digest> digestFromHex(std::string_view Text);

/// BLAKE2b of \p Secret as 64 hexadecimal digits; what configuration stores
/// in place of a client account's key.
std::string secretDigest(std::string_view Secret);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_DIGEST_H
