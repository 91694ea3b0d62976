// Small helpers to read JSON objects that tests send.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_JSON_TEXT_H_
#define MARJORAMSLIP_TOOLS_STANDIN_JSON_TEXT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

using json_object = Poco::JSON::Object::Ptr;

/// Reads an object. Throws Poco::Exception if the text is none.
json_object ParseJsonObject(const std::string& text);

/// Writes an object on one line.
std::string JsonText(const Poco::JSON::Object& object);

/// A member as text; empty if absent.
std::string TextMember(const json_object& object, const std::string& name);

/// A member as an integer, written as a number or as text; 0 if absent.
std::int64_t IntegerMember(const json_object& object, const std::string& name);

/// A member as a number; `otherwise` if absent.
double NumberMember(const json_object& object, const std::string& name,
                    double otherwise);

/// A member that is an object; null if absent.
json_object ObjectMember(const json_object& object, const std::string& name);

/// The objects of a member that is an array; empty if absent.
std::vector<json_object> ObjectsMember(const json_object& object,
                                       const std::string& name);

std::string EncodeBase64(std::string_view bytes);
/// Throws Poco::DataFormatException on malformed text.
std::string DecodeBase64(const std::string& text);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_JSON_TEXT_H_
