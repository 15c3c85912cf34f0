//===- digest.cpp - Checksums and cryptographic digests -------------------===//

#include "base/digest.h"
#include "base/clock.h"
#include <charconv>
#include <sodium.h>
#include <xxhash.h>

namespace olivevalve {

uint64_t checksum(std::string_view Bytes, uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

short_digest shortDigest(std::string_view Bytes) {
  short_digest Digest{};
  crypto_generichash(reinterpret_cast<unsigned char *>(Digest.data()),
                     sizeof(Digest),
                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                     Bytes.size(), nullptr, 0);
  return Digest;
}

std::string hexOf(const short_digest &Digest) {
  return hexOf(Digest[0]) + hexOf(Digest[1]);
}

std::optional<short_digest> digestFromHex(std::string_view Text) {
  short_digest Digest{};
  constexpr size_t Digits = 16;
  if (Text.size() != Digits * Digest.size())
    return std::nullopt;
  for (uint64_t &Part : Digest) {
    const char *End = Text.data() + Digits;
    auto Parsed = std::from_chars(Text.data(), End, Part, 16);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return std::nullopt;
    Text.remove_prefix(Digits);
  }
  return Digest;
}

std::string secretDigest(std::string_view Secret) {
  std::array<unsigned char, 32> Hash{};
  crypto_generichash(Hash.data(), Hash.size(),
                     reinterpret_cast<const unsigned char *>(Secret.data()),
                     Secret.size(), nullptr, 0);
  std::array<char, 65> Text{};
  sodium_bin2hex(Text.data(), Text.size(), Hash.data(), Hash.size());
  return Text.data();
}

} // namespace olivevalve
