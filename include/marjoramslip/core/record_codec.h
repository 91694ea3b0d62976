// Serialization of group records as JSON, for the key-value service.

#ifndef MARJORAMSLIP_CORE_RECORD_CODEC_H_
#define MARJORAMSLIP_CORE_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"
#include "marjoramslip/core/group_record.h"

namespace marjoramslip {

/// Serializes a record as JSON. 64-bit ids become hexadecimal strings.
std::string FormatRecord(const group_record& record);

/// Parses a record. Returns kInvalid if the text is malformed.
result<group_record> ParseRecord(std::string_view text);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_RECORD_CODEC_H_
