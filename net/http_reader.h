//===- http_reader.h - Strict HTTP/1.1 message parser -----------*- C++ -*-===//
//
// Parses requests or responses of a connection incrementally with http_parser
// and passes body bytes on as they arrive. Header order and values are kept
// for proxying. To prevent request smuggling, any message that two parsers
// could interpret differently is an error.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_READER_H
#define OLIVEVALVE_NET_HTTP_READER_H

#include "net/header_lines.h"
#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace olivevalve {

/// Compares two header names, ignoring case.
bool sameHeader(std::string_view A, std::string_view B);

/// One header field.
struct header_field {
  std::string Name;
  std::string Value;
};

/// What marks the end of a message's body.
enum class body_framing : uint8_t {
  None,   ///< There is no body.
  Length, ///< Content-Length.
  Chunks, ///< The last chunk.
  Close   ///< The end of the connection; responses only.
};

std::string_view nameOf(body_framing Framing);

/// Start line and headers of a message.
struct http_head {
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only: path and query as sent.
  int Status = 0;     ///< Responses only.
  /// Responses only: the final response follows.
  bool IsInterim = false;
  std::string Reason; ///< Responses only: the reason phrase.
  /// The message allows the connection to be reused after it.
  bool KeepAlive = false;
  bool IsHttp10 = false; ///< HTTP/1.0 or older.
  body_framing Framing = body_framing::None;
  /// Value of Content-Length, if present.
  std::optional<uint64_t> Length;
  header_lines Lines;

  /// The value of the first header called \p Name.
  std::optional<std::string_view> find(std::string_view Name) const;
  /// What the Connection headers list: options, and names of headers that are
  /// hop-by-hop.
  std::vector<std::string_view> connectionOptions() const;
  /// True if a Connection header lists \p Name.
  bool isConnectionOption(std::string_view Name) const;
  /// Bytes of memory that the head takes besides its own size.
  size_t heldBytes() const {
    return Method.capacity() + Target.capacity() + Reason.capacity() +
           Lines.heldBytes();
  }
  /// True if Content-Type is text/event-stream.
  bool isEventStream() const;
};

/// Which messages a reader parses.
enum class http_side : uint8_t { Request, Answer };

/// Parses consecutive messages of one connection.
class http_reader {
public:
  explicit http_reader(http_side Side);
  http_reader(const http_reader &) = delete;
  http_reader &operator=(const http_reader &) = delete;

  /// Called when the head is complete and valid.
  std::function<void()> OnHead;
  /// Called with body bytes as they arrive, without transfer coding.
  std::function<void(std::string_view)> OnBody;

  /// Parses \p Bytes up to the end of the current message at most. Returns the
  /// number of bytes consumed; 0 after an error or the end of the message.
  size_t feed(std::string_view Bytes);
  /// Must be called when the connection ends. Returns true if the current
  /// message is complete, including one whose body ends with the connection.
  bool endOfInput();
  /// Resets the reader for the next message. \p HeadOnly marks a response
  /// without a body whatever its head says, as for a HEAD request.
  void next(bool HeadOnly = false);

  const http_head &head() const { return Head; }
  /// Moves the head out; it is empty until the next message.
  http_head takeHead() { return std::exchange(Head, {}); }
  /// True once the head is complete and valid.
  bool headDone() const { return HeadDone; }
  /// True once the message is complete.
  bool done() const { return Done; }
  /// True if no byte of the current message has been consumed.
  bool fresh() const { return Bytes == 0; }
  bool failed() const { return !Error.empty(); }
  /// What is wrong with the message; empty if there is no error.
  const std::string &error() const { return Error; }
  /// Size of the head received so far in bytes.
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
  void keepFirstLine(std::string_view Input);
  void checkHead();

  http_side Side;
  http_parser Parser{};
  http_head Head;
  std::string Error;
  std::string FirstLine; ///< Responses only: its first StatusPrefixBytes.
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
