//===- answer_text.h - Text of an answer for the rating service -*- C++ -*-===//
//
// Extracts the text from a streamed answer as it passes, or from a plain one.
// Only the text is buffered, since the JSON around a token in a stream is many
// times as long as the token.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_ANSWER_TEXT_H
#define OLIVEVALVE_ENTRY_ANSWER_TEXT_H

#include <string>
#include <string_view>

namespace olivevalve {

/// Collects the text of a streamed answer.
class answer_text {
public:
  /// Takes the next bytes of a stream of chat.completion.chunk events; they may
  /// be split anywhere.
  void feed(std::string_view Bytes);
  /// The text so far, bounded in length.
  std::string text() const;
  void clear();

  /// Bound on the text, in escaped form.
  static constexpr size_t MaxBytes = 16 << 10;

private:
  void parseLine(std::string_view Line);

  std::string PartialLine; ///< Beginning of a line that is not complete yet.
  std::string Escaped;     ///< The text with its JSON escapes.
};

/// The text of a plain answer; the whole body if it is not in the expected
/// place.
std::string textOfAnswer(const std::string &Body);

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_ANSWER_TEXT_H
