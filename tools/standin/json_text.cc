// Reading and writing of JSON for the stand-ins.

#include "json_text.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Parser.h>

#include <iterator>
#include <sstream>

namespace standin {

json_object ParseJsonObject(const std::string& text) {
  if (text.empty()) {
    return json_object(new Poco::JSON::Object);
  }
  Poco::JSON::Parser parser;
  return parser.parse(text).extract<json_object>();
}

std::string JsonText(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string TextMember(const json_object& object, const std::string& name) {
  if (object.isNull() || !object->has(name) || object->isNull(name)) {
    return "";
  }
  return object->get(name).convert<std::string>();
}

std::int64_t IntegerMember(const json_object& object, const std::string& name) {
  const std::string text = TextMember(object, name);
  return text.empty() ? 0 : std::stoll(text);
}

double NumberMember(const json_object& object, const std::string& name,
                    double otherwise) {
  const std::string text = TextMember(object, name);
  return text.empty() ? otherwise : std::stod(text);
}

json_object ObjectMember(const json_object& object, const std::string& name) {
  if (object.isNull() || !object->has(name)) {
    return {};
  }
  return object->getObject(name);
}

std::vector<json_object> ObjectsMember(const json_object& object,
                                       const std::string& name) {
  std::vector<json_object> found;
  if (object.isNull() || !object->isArray(name)) {
    return found;
  }
  const Poco::JSON::Array::Ptr array = object->getArray(name);
  for (unsigned int index = 0; index < array->size(); ++index) {
    found.push_back(array->getObject(index));
  }
  return found;
}

std::string EncodeBase64(std::string_view bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  encoder.close();
  return out.str();
}

std::string DecodeBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

}  // namespace standin
