//===- header_lines.h - Header fields in one buffer -------------*- C++ -*-===//

#ifndef OLIVEVALVE_NET_HEADER_LINES_H
#define OLIVEVALVE_NET_HEADER_LINES_H

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <string>
#include <string_view>

namespace olivevalve {

/// One header field; valid while its message is and does not change.
struct header_view {
  std::string_view Name;
  std::string_view Value;
};

/// The header fields of a message in the order received. All are in one buffer,
/// so that a field takes no more than its bytes, however short it is. A name
/// has no ':' and a value no line feed, as in any message that was parsed.
class header_lines {
public:
  class iterator {
  public:
    using value_type = header_view;
    using difference_type = std::ptrdiff_t;
    using iterator_category = std::input_iterator_tag;
    using reference = header_view;
    using pointer = const header_view *;

    explicit iterator(std::string_view Rest) : Rest(Rest) {}
    header_view operator*() const;
    iterator &operator++();
    bool operator==(const iterator &Other) const {
      return Rest.size() == Other.Rest.size();
    }

  private:
    std::string_view Rest; ///< This field and those that follow.
  };

  header_lines() = default;
  header_lines(std::initializer_list<header_view> Fields);

  /// Adds to the name of a new field, which gets its value next.
  void extendName(std::string_view Part);
  /// Adds to the value of the last field. \p First: its value begins.
  void extendValue(std::string_view Part, bool First);

  /// A last field that has no value yet is left out.
  iterator begin() const {
    return iterator(std::string_view(Text).substr(0, WholeBytes));
  }
  iterator end() const { return iterator({}); }
  bool empty() const { return WholeBytes == 0; }
  /// Bytes of memory that the fields take.
  size_t heldBytes() const { return Text.capacity(); }

private:
  std::string Text; ///< Of each field: name, ':', value, line feed.
  /// Bytes of the fields that have a value.
  size_t WholeBytes = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HEADER_LINES_H
