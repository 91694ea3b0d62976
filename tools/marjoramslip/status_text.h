// An instance's status in words.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_STATUS_TEXT_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_STATUS_TEXT_H_

#include <Poco/JSON/Object.h>

#include <string>

namespace marjoramslip::cli {

/// Tells what an instance's status report says. Throws POCO's exceptions if
/// it is none.
std::string DescribeStatus(const Poco::JSON::Object& report);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_STATUS_TEXT_H_
