//===- answer_text.h - The text of an answer, for the rating ----*- C++ -*-===//
//
// Takes the text out of a streamed answer while it passes, and out of a plain
// one: what surrounds a token in a stream is many times as long as the token.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_ANSWER_TEXT_H
#define OLIVEVALVE_ENTRY_ANSWER_TEXT_H

#include <string>
#include <string_view>

namespace olivevalve {

class answer_text {
public:
  /// The next bytes of a stream of chat.completion.chunk events, cut anywhere.
  void feed(std::string_view Bytes);
  /// The text so far, at most MostBytes of it.
  std::string text() const;
  void clear();

  static constexpr size_t MostBytes = 16 << 10;

private:
  void takeLine(std::string_view Line);

  std::string Partial; ///< A line whose end has not come.
  std::string Escaped; ///< As it stands between the quotes of JSON.
};

/// The text of a plain answer; the whole body if it has none where it should.
std::string textOfAnswer(const std::string &Body);

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_ANSWER_TEXT_H
