// Writes what the server side of the protocol sends.

#include "marjoramslip/wire/messages.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace marjoramslip::wire {
namespace {

/// A number in the order of the network.
std::array<char, 4> BytesOf(std::uint32_t value) {
  return {static_cast<char>(value >> 24U),
          static_cast<char>((value >> 16U) & 0xFFU),
          static_cast<char>((value >> 8U) & 0xFFU),
          static_cast<char>(value & 0xFFU)};
}

void AppendUint32(std::string& out, std::uint32_t value) {
  const std::array<char, 4> bytes = BytesOf(value);
  out.append(bytes.data(), bytes.size());
}

void AppendUint16(std::string& out, std::uint16_t value) {
  out.push_back(static_cast<char>(value >> 8U));
  out.push_back(static_cast<char>(value & 0xFFU));
}

/// Appends a string that ends in NUL; what follows a NUL within is cut.
void AppendText(std::string& out, std::string_view text) {
  out.append(text.substr(0, text.find('\0')));
  out.push_back('\0');
}

/// Writes a message's type at once and its length when it goes out of scope.
class frame {
 public:
  frame(std::string& out, char type) : out_(out) {
    out_.push_back(type);
    start_ = out_.size();
    AppendUint32(out_, 0);
  }
  ~frame() {
    const std::size_t length = out_.size() - start_;
    assert(length <= std::numeric_limits<std::int32_t>::max() &&
           "a message must fit its length field");
    const std::array<char, 4> field =
        BytesOf(static_cast<std::uint32_t>(length));
    std::copy(field.begin(), field.end(), out_.data() + start_);
  }
  frame(const frame&) = delete;
  frame& operator=(const frame&) = delete;

 private:
  std::string& out_;
  std::size_t start_ = 0;
};

void AppendField(std::string& out, char code, std::string_view text) {
  if (text.empty()) {
    return;
  }
  out.push_back(code);
  AppendText(out, text);
}

void AppendReport(std::string& out, char type, const error_fields& fields) {
  const frame message(out, type);
  AppendField(out, 'S', fields.severity);
  AppendField(out, 'V', fields.severity);
  AppendField(out, 'C', fields.sqlstate);
  AppendField(out, 'M', fields.message);
  AppendField(out, 'D', fields.detail);
  AppendField(out, 'H', fields.hint);
  out.push_back('\0');
}

void AppendCount(std::string& out, std::size_t count) {
  assert(count <= std::numeric_limits<std::int16_t>::max() &&
         "a row must fit its count field");
  AppendUint16(out, static_cast<std::uint16_t>(count));
}

}  // namespace

void AppendAuthenticationOk(std::string& out) {
  const frame message(out, 'R');
  AppendUint32(out, 0);
}

void AppendParameterStatus(std::string& out, std::string_view name,
                           std::string_view value) {
  const frame message(out, 'S');
  AppendText(out, name);
  AppendText(out, value);
}

void AppendBackendKeyData(std::string& out, std::uint32_t process,
                          std::uint32_t secret) {
  const frame message(out, 'K');
  AppendUint32(out, process);
  AppendUint32(out, secret);
}

void AppendReadyForQuery(std::string& out, ready_status status) {
  const frame message(out, 'Z');
  out.push_back(static_cast<char>(status));
}

void AppendRowDescription(std::string& out, std::span<const column> columns) {
  const frame message(out, 'T');
  AppendCount(out, columns.size());
  for (const column& each : columns) {
    AppendText(out, each.name);
    AppendUint32(out, 0);  // No table.
    AppendUint16(out, 0);  // No column of a table.
    AppendUint32(out, each.type);
    AppendUint16(out, static_cast<std::uint16_t>(each.size));
    AppendUint32(out, static_cast<std::uint32_t>(each.modifier));
    AppendUint16(out, static_cast<std::uint16_t>(each.format));
  }
}

void AppendDataRow(std::string& out, std::span<const cell> cells) {
  const frame message(out, 'D');
  AppendCount(out, cells.size());
  for (const cell& each : cells) {
    if (!each) {
      AppendUint32(out, std::numeric_limits<std::uint32_t>::max());
      continue;
    }
    AppendUint32(out, static_cast<std::uint32_t>(each->size()));
    out.append(*each);
  }
}

void AppendCommandComplete(std::string& out, std::string_view tag) {
  const frame message(out, 'C');
  AppendText(out, tag);
}

void AppendEmptyQueryResponse(std::string& out) {
  const frame message(out, 'I');
}

void AppendErrorResponse(std::string& out, const error_fields& fields) {
  AppendReport(out, 'E', fields);
}

void AppendNoticeResponse(std::string& out, const error_fields& fields) {
  AppendReport(out, 'N', fields);
}

}  // namespace marjoramslip::wire
