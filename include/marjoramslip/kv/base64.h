// Base64 encoding and decoding.

#ifndef MARJORAMSLIP_KV_BASE64_H_
#define MARJORAMSLIP_KV_BASE64_H_

#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"

namespace marjoramslip::kv {

/// Encodes bytes as standard base64 with padding and without line breaks.
std::string EncodeBase64(std::string_view bytes);
/// Decodes base64; fails with kInvalid if `text` is malformed.
result<std::string> DecodeBase64(const std::string& text);

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_BASE64_H_
