// Walks the fields of a message as its schema describes them.

#include "decoding_cost.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/message.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

#include "peer.pb.h"

namespace marjoramslip::peer {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::MessageFactory;
using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

/// A message may take this much, or this many times its length. On the
/// platform, a catalogue takes less than 1 MiB; one of many endpoints with
/// short names takes 11 times its length.
constexpr std::size_t kMaxCost = 16U << 20U;
constexpr std::size_t kMaxFactor = 16;
/// An allocation's own bytes, and its place in a list that grows.
constexpr std::size_t kAllocationBytes = 32;
constexpr std::size_t kStringBytes = sizeof(std::string) + kAllocationBytes;
/// An unknown field is kept, in a list that grows.
constexpr std::size_t kUnknownFieldBytes = 32;
/// Numbers in a list may take one byte each.
constexpr std::size_t kNumberBytes = 8;

class estimate {
 public:
  explicit estimate(std::size_t limit) : limit_(limit) {}

  std::size_t Bytes() const { return bytes_; }

  /// Returns false if the message is malformed or exceeds the limit.
  bool AddMessage(CodedInputStream& in, const Descriptor& type) {
    const auto* const prototype =
        MessageFactory::generated_factory()->GetPrototype(&type);
    bytes_ += prototype->SpaceUsedLong() + kAllocationBytes;
    while (bytes_ <= limit_) {
      const std::uint32_t tag = in.ReadTag();
      if (tag == 0) {
        return in.ConsumedEntireMessage();
      }
      if (!AddField(in, tag, type)) {
        return false;
      }
    }
    return false;
  }

 private:
  bool AddField(CodedInputStream& in, std::uint32_t tag,
                const Descriptor& type) {
    const FieldDescriptor* const field =
        type.FindFieldByNumber(WireFormatLite::GetTagFieldNumber(tag));
    switch (WireFormatLite::GetTagWireType(tag)) {
      case WireFormatLite::WIRETYPE_LENGTH_DELIMITED:
        return AddDelimited(in, field);
      case WireFormatLite::WIRETYPE_START_GROUP:
      case WireFormatLite::WIRETYPE_END_GROUP:
        return false;  // Not sent by any release.
      default:
        bytes_ += field == nullptr       ? kUnknownFieldBytes
                  : field->is_repeated() ? kNumberBytes
                                         : 0;
        return WireFormatLite::SkipField(&in, tag);
    }
  }

  bool AddDelimited(CodedInputStream& in, const FieldDescriptor* field) {
    std::uint32_t length = 0;
    if (!in.ReadVarint32(&length) ||
        length > static_cast<std::uint32_t>(in.BytesUntilLimit())) {
      return false;
    }
    if (field != nullptr && field->message_type() != nullptr) {
      const auto outer = in.PushLimit(static_cast<int>(length));
      const bool added = AddMessage(in, *field->message_type());
      in.PopLimit(outer);
      return added;
    }
    const bool numbers = field != nullptr && field->is_packable();
    bytes_ += numbers ? length * kNumberBytes : kStringBytes + length;
    return in.Skip(static_cast<int>(length));
  }

  std::size_t limit_;
  std::size_t bytes_ = 0;
};

}  // namespace

std::optional<std::size_t> DecodingCost(std::span<const char> bytes) {
  if (bytes.size() > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  const int length = static_cast<int>(bytes.size());
  CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                      length);
  in.PushLimit(length);
  estimate decoded(std::max(kMaxCost, kMaxFactor * bytes.size()));
  if (!decoded.AddMessage(in, *proto::Envelope::descriptor())) {
    return std::nullopt;
  }
  return decoded.Bytes();
}

}  // namespace marjoramslip::peer
