//===- caller_memory.h - Memory held on behalf of callers -------*- C++ -*-===//
//
// The account of what the callers of one listener make the process hold:
// requests that are incomplete or being answered, bytes sent ahead, responses
// that are not read. Connections that hold much share a part of the bound; the
// rest is kept for ordinary requests.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_CALLER_MEMORY_H
#define OLIVEVALVE_NET_CALLER_MEMORY_H

#include <cstddef>

namespace olivevalve {

/// A quarter of the memory of this VM, in bytes.
size_t defaultCallerBytes();

/// Sum of what connections hold, and its bound.
class caller_memory {
public:
  explicit caller_memory(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// A connection that held \p Before bytes now holds \p Now.
  void update(size_t Before, size_t Now);
  /// True for connections that hold more than an ordinary request.
  static bool isLarge(size_t HeldBytes);
  /// True if large connections hold more than their part. A single one may hold
  /// any amount.
  bool isFullOfLarge() const;
  /// True if something has to be given up.
  bool isFull() const;
  size_t heldBytes() const { return Bytes; }
  size_t maxBytes() const { return MaxBytes; }

private:
  size_t MaxBytes;
  size_t Bytes = 0;
  size_t LargeBytes = 0; ///< Held by large connections.
  size_t LargeCount = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_CALLER_MEMORY_H
