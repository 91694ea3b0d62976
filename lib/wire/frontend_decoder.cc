// Splits what a caller sends into messages.

#include <utility>

#include "marjoramslip/wire/messages.h"

namespace marjoramslip::wire {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kStartupHeaderBytes = 8;

constexpr std::uint32_t kProtocolVersion = 3U << 16U;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kTlsRequestCode = 80877103;
constexpr std::uint32_t kGssRequestCode = 80877104;

/// Consumed bytes are given back once there are at least this many.
constexpr std::size_t kCompactBytes = 64U << 10U;

/// Types of the protocol that are known and not served.
constexpr std::string_view kUnservedTypes = "PBDECHFcdf";

std::uint32_t ReadUint32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

using parsed = result<std::optional<frontend_message>>;

/// Takes a string that ends in NUL from the front of `bytes`.
std::optional<std::string_view> TakeText(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

parsed ParseStartup(std::string_view body) {
  startup message;
  while (true) {
    const auto name = TakeText(body);
    if (!name) {
      return Fail(error_kind::kInvalid, "startup parameters lack an end");
    }
    if (name->empty()) {
      break;
    }
    const auto value = TakeText(body);
    if (!value) {
      return Fail(error_kind::kInvalid, "a startup parameter lacks a value");
    }
    message.parameters.insert_or_assign(std::string(*name),
                                        std::string(*value));
  }
  if (!body.empty()) {
    return Fail(error_kind::kInvalid, "bytes follow the startup parameters");
  }
  return std::make_optional<frontend_message>(std::move(message));
}

parsed ParseUntyped(std::uint32_t code, std::string_view body) {
  if (code == kProtocolVersion) {
    return ParseStartup(body);
  }
  if (code == kCancelRequestCode) {
    if (body.size() != 2 * kLengthBytes) {
      return Fail(error_kind::kInvalid, "a cancel request has a wrong length");
    }
    return frontend_message(cancel_request{
        ReadUint32(body), ReadUint32(body.substr(kLengthBytes))});
  }
  if (code != kTlsRequestCode && code != kGssRequestCode) {
    return Fail(error_kind::kInvalid, "only protocol version 3.0 is served");
  }
  if (!body.empty()) {
    return Fail(error_kind::kInvalid,
                "a request for encryption has a wrong length");
  }
  if (code == kTlsRequestCode) {
    return std::make_optional<frontend_message>(tls_request{});
  }
  return std::make_optional<frontend_message>(gss_request{});
}

parsed ParseQuery(std::string_view body) {
  const auto text = TakeText(body);
  if (!text) {
    return Fail(error_kind::kInvalid, "a query lacks its end");
  }
  if (!body.empty()) {
    return Fail(error_kind::kInvalid, "bytes follow the text of a query");
  }
  return std::make_optional<frontend_message>(query{std::string(*text)});
}

frontend_message ParsePassword(std::string_view body) {
  if (!body.empty() && body.back() == '\0') {
    body.remove_suffix(1);
  }
  return password{std::string(body)};
}

bool IsKnownType(char type) {
  return std::string_view("QXpS").find(type) != std::string_view::npos ||
         kUnservedTypes.find(type) != std::string_view::npos;
}

parsed ParseTyped(char type, std::string_view body) {
  if (type == 'Q') {
    return ParseQuery(body);
  }
  if (type == 'p') {
    return ParsePassword(body);
  }
  if (type != 'X' && type != 'S') {
    return std::make_optional<frontend_message>(unsupported{type});
  }
  if (!body.empty()) {
    return Fail(error_kind::kInvalid, "a message without content has some");
  }
  if (type == 'X') {
    return std::make_optional<frontend_message>(terminate{});
  }
  return std::make_optional<frontend_message>(sync{});
}

}  // namespace

void frontend_decoder::Feed(std::span<const char> bytes) {
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  } else if (consumed_ >= kCompactBytes) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_.append(bytes.data(), bytes.size());
}

void frontend_decoder::Release() {
  if (consumed_ == buffer_.size()) {
    Clear();
  } else if (consumed_ >= kCompactBytes) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    if (buffer_.capacity() > kCompactBytes + 2 * buffer_.size()) {
      buffer_.shrink_to_fit();
    }
  }
}

void frontend_decoder::Clear() {
  buffer_.clear();
  consumed_ = 0;
  if (buffer_.capacity() > kCompactBytes) {
    buffer_.shrink_to_fit();
  }
}

result<std::optional<frontend_message>> frontend_decoder::Next() {
  return started_ ? NextTyped() : NextStartup();
}

result<std::optional<frontend_message>> frontend_decoder::NextStartup() {
  const std::string_view held = std::string_view(buffer_).substr(consumed_);
  if (held.size() < kLengthBytes) {
    return std::optional<frontend_message>();
  }
  const std::size_t length = ReadUint32(held);
  if (length < kStartupHeaderBytes || length > limit_) {
    return Fail(error_kind::kInvalid, "the first message has a bad length");
  }
  if (held.size() < length) {
    return std::optional<frontend_message>();
  }
  const std::uint32_t code = ReadUint32(held.substr(kLengthBytes));
  const std::string_view body =
      held.substr(kStartupHeaderBytes, length - kStartupHeaderBytes);
  parsed message = ParseUntyped(code, body);
  if (message) {
    consumed_ += length;
    started_ = code == kProtocolVersion;
  }
  return message;
}

result<std::optional<frontend_message>> frontend_decoder::NextTyped() {
  const std::string_view held = std::string_view(buffer_).substr(consumed_);
  if (held.empty()) {
    return std::optional<frontend_message>();
  }
  const char type = held.front();
  if (!IsKnownType(type)) {
    return Fail(error_kind::kInvalid, "a message has an unknown type");
  }
  if (held.size() < kTypeBytes + kLengthBytes) {
    return std::optional<frontend_message>();
  }
  const std::size_t length = ReadUint32(held.substr(kTypeBytes));
  if (length < kLengthBytes) {
    return Fail(error_kind::kInvalid, "a message has a bad length");
  }
  if (length > limit_) {
    return Fail(error_kind::kInvalid, "a message exceeds the size limit");
  }
  if (held.size() < kTypeBytes + length) {
    return std::optional<frontend_message>();
  }
  const std::string_view body =
      held.substr(kTypeBytes + kLengthBytes, length - kLengthBytes);
  parsed message = ParseTyped(type, body);
  if (message) {
    consumed_ += kTypeBytes + length;
  }
  return message;
}

}  // namespace marjoramslip::wire
