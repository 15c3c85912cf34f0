//===- digest.h - Checksums and cryptographic digests -----------*- C++ -*-===//

#ifndef OLIVEVALVE_BASE_DIGEST_H
#define OLIVEVALVE_BASE_DIGEST_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace olivevalve {

/// 64-bit XXH3 hash. Not cryptographic: use it for checksums and placement,
/// never for secrets.
uint64_t checksum(std::string_view Bytes, uint64_t Seed = 0);

/// A 128-bit digest.
using short_digest = std::array<uint64_t, 2>;
/// 128-bit BLAKE2b digest. Identifies input that untrusted parties choose, such
/// as requests: they can't feasibly construct input with the same digest as
/// somebody else's.
short_digest shortDigest(std::string_view Bytes);

/// Formats \p Digest as 32 lower-case hexadecimal digits.
std::string hexOf(const short_digest &Digest);
/// Parses the output of hexOf(); std::nullopt if \p Text is not exactly 32
/// hexadecimal digits.
std::optional<short_digest> digestFromHex(std::string_view Text);

/// 256-bit BLAKE2b digest of \p Secret as 64 hexadecimal digits. The
/// configuration stores it in place of a client account's key.
std::string secretDigest(std::string_view Secret);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_DIGEST_H
