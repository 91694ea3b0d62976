// Declarations and endpoints of a platform's registry, independent of its key
// names and value formats.

#ifndef MARJORAMSLIP_COORDINATION_REGISTRY_H_
#define MARJORAMSLIP_COORDINATION_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip::shell {

/// The services, routes and accounts that operators declare. Services have no
/// endpoints here.
struct declarations {
  std::uint64_t version = 0;
  std::map<std::string, service_spec, std::less<>> services;
  std::map<std::string, route_spec, std::less<>> routes;
  /// False if callers need no keys.
  bool accounts_in_use = false;
  std::map<std::string, client_account, std::less<>> accounts;
  duration idle_transaction_limit{};
  /// Connections that each endpoint accepts, by service name.
  std::map<std::string, std::uint32_t, std::less<>> connections;
};

/// Returns the catalogue of the declarations, without endpoints and at revision
/// 0. Each service has one group of its name.
catalogue DeclaredCatalogue(const declarations& declared);

/// An endpoint as it registered itself in the platform's store.
struct registered_endpoint {
  std::string service;
  /// The name is unique for each start of the endpoint. `connections` is unset:
  /// it comes from the declarations.
  endpoint_spec spec;

  bool operator==(const registered_endpoint&) const = default;
};

/// The kind of registry entry that a key stands for.
enum class registry_key_kind : std::uint8_t {
  kDeclarations,
  kEndpoint,
  kOther
};

/// Decodes the keys and values of a platform's registry.
class registry_decoder {
 public:
  virtual ~registry_decoder() = default;

  virtual registry_key_kind ClassifyKey(std::string_view key) const = 0;
  /// Common prefix of all keys to read and watch. Other keys may share it.
  virtual std::string_view Prefix() const = 0;
  /// Fails with kInvalid, and a message that says why, if the value cannot be
  /// used. So does ParseEndpoint.
  virtual result<declarations> ParseDeclarations(
      std::string_view value) const = 0;
  virtual result<registered_endpoint> ParseEndpoint(
      std::string_view key, std::string_view value) const = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_COORDINATION_REGISTRY_H_
