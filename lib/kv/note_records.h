// JSON of the service records and of the newest revision of the release notes.

#ifndef MARJORAMSLIP_LIB_KV_NOTE_RECORDS_H_
#define MARJORAMSLIP_LIB_KV_NOTE_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"
#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip::kv {

/// A service and the revision of the release note that last changed it.
struct service_record {
  std::uint64_t revision = 0;
  service_spec service;
};

/// Formats a service record.
std::string FormatServiceRecord(const service_record& record);
/// Parses a service record; fails with kInternal if it is malformed.
result<service_record> ParseServiceRecord(std::string_view text);

/// Formats the newest revision of the release notes.
std::string FormatHead(std::uint64_t revision);
/// Parses the newest revision; fails with kInternal if it is malformed.
result<std::uint64_t> ParseHead(std::string_view text);

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_LIB_KV_NOTE_RECORDS_H_
