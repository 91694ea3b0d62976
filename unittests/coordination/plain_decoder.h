// A registry decoder for tests, with keys and values in plain text.

#ifndef MARJORAMSLIP_UNITTESTS_COORDINATION_PLAIN_DECODER_H_
#define MARJORAMSLIP_UNITTESTS_COORDINATION_PLAIN_DECODER_H_

#include <charconv>
#include <string>
#include <string_view>

#include "marjoramslip/coordination/registry.h"

namespace marjoramslip::shell {

/// Declarations are a version number, and the only service is "store". The
/// value of an endpoint's key is its host.
class plain_decoder final : public registry_decoder {
 public:
  registry_key_kind ClassifyKey(std::string_view key) const override {
    if (key == "/declared") {
      return registry_key_kind::kDeclarations;
    }
    return key.starts_with("/endpoints/") ? registry_key_kind::kEndpoint
                                          : registry_key_kind::kOther;
  }
  std::string_view Prefix() const override { return "/"; }

  result<declarations> ParseDeclarations(
      std::string_view value) const override {
    declarations parsed;
    const auto number = std::from_chars(
        value.data(), value.data() + value.size(), parsed.version);
    if (number.ec != std::errc{}) {
      return Fail(error_kind::kInvalid, "no version");
    }
    service_spec service;
    service.name = "store";
    parsed.services["store"] = service;
    parsed.connections["store"] = 3;
    return parsed;
  }

  result<registered_endpoint> ParseEndpoint(
      std::string_view key, std::string_view value) const override {
    if (value.empty()) {
      return Fail(error_kind::kInvalid, "no host");
    }
    registered_endpoint parsed;
    parsed.service = "store";
    parsed.spec.name = std::string(key.substr(key.rfind('/') + 1));
    parsed.spec.host = std::string(value);
    parsed.spec.leaving = value == "leaving";
    return parsed;
  }
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_COORDINATION_PLAIN_DECODER_H_
