// Base64 encoding and decoding with POCO, without line breaks.

#include "marjoramslip/kv/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <iterator>
#include <sstream>

namespace marjoramslip::kv {

std::string EncodeBase64(std::string_view bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

result<std::string> DecodeBase64(const std::string& text) {
  try {
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    decoder.exceptions(std::ios::badbit);
    return std::string(std::istreambuf_iterator<char>(decoder), {});
  } catch (const std::exception&) {
    return Fail(error_kind::kInvalid, "malformed base64");
  }
}

}  // namespace marjoramslip::kv
