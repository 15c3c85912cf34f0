//===- http_reader.h - HTTP/1.1 messages, byte for byte ---------*- C++ -*-===//
//
// Reads requests or answers from a connection through http_parser and hands
// them on as they come: for what must pass through unchanged. Strict: whatever
// two readers could take for different messages is an error.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_READER_H
#define OLIVEVALVE_NET_HTTP_READER_H

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

/// True if two names of headers are the same.
bool sameHeader(std::string_view A, std::string_view B);

struct head_line {
  std::string Name;
  std::string Value;
};

/// Start line and headers of a message, in their order.
struct http_head {
  std::string Method;     ///< Requests.
  std::string Target;     ///< Requests: path and query as sent.
  int Status = 0;         ///< Answers.
  std::string Reason;     ///< Answers.
  bool KeepAlive = false; ///< The sender means to use the connection again.
  bool IsHttp10 = false;
  bool Chunked = false;
  std::optional<uint64_t> Length; ///< Of the body, when told in the head.
  std::vector<head_line> Lines;

  /// The value of the first header called \p Name, or null.
  const std::string *find(std::string_view Name) const;
  /// Names that the Connection header ties to this connection.
  bool isTied(std::string_view Name) const;
};

enum class http_side : uint8_t { Request, Answer };

/// Reads one message after the other.
class http_reader {
public:
  explicit http_reader(http_side Side);
  http_reader(const http_reader &) = delete;
  http_reader &operator=(const http_reader &) = delete;

  std::function<void()> OnHead;
  std::function<void(std::string_view)> OnBody;

  /// Reads up to the end of a message; returns how many bytes it took.
  size_t feed(std::string_view Bytes);
  /// The connection has ended: true if that ends the message properly.
  bool endOfInput();
  /// Makes ready for the next message. \p HeadOnly: an answer without a body
  /// whatever its head says, as to HEAD.
  void next(bool HeadOnly = false);

  const http_head &head() const { return Head; }
  bool headDone() const { return HeadDone; }
  bool done() const { return Done; }
  /// No byte of a message has been read.
  bool fresh() const { return Bytes == 0; }
  bool failed() const { return !Error.empty(); }
  const std::string &error() const { return Error; }
  /// Bytes of the message's head read so far.
  size_t headBytes() const { return HeadBytes; }

private:
  static http_reader &self(http_parser *Parser);
  static int onUrl(http_parser *Parser, const char *At, size_t Size);
  static int onStatus(http_parser *Parser, const char *At, size_t Size);
  static int onField(http_parser *Parser, const char *At, size_t Size);
  static int onValue(http_parser *Parser, const char *At, size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBodyBytes(http_parser *Parser, const char *At, size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &settings();
  void checkHead();

  http_side Side;
  http_parser Parser{};
  http_head Head;
  std::string Error;
  size_t Bytes = 0;
  size_t HeadBytes = 0;
  bool HeadOnly = false;
  bool HeadDone = false;
  bool Done = false;
  bool InTrailer = false;
  bool LastWasValue = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_READER_H
