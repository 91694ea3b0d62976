// Asks instances what they are doing.

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "status_text.h"

namespace marjoramslip::cli {
namespace {

constexpr int kTimeoutSeconds = 2;

/// The body of the instance's status. Throws POCO's exceptions.
std::string Fetch(const Poco::Net::SocketAddress& address) {
  Poco::Net::HTTPClientSession session(address);
  session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/status",
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  std::string body;
  Poco::StreamCopier::copyToString(in, body);
  if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
    throw Poco::IOException("answered " + std::to_string(response.getStatus()));
  }
  return body;
}

exit_code Show(const std::string& address, bool json) {
  try {
    const std::string body = Fetch(Poco::Net::SocketAddress(address));
    if (json) {
      std::cout << body << "\n";
      return kDone;
    }
    Poco::JSON::Parser parser;
    const auto report = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    std::cout << DescribeStatus(*report);
    return kDone;
  } catch (const std::exception& caught) {
    const auto* poco = dynamic_cast<const Poco::Exception*>(&caught);
    Complain(kRefused,
             address + ": " +
                 (poco != nullptr ? poco->displayText() : caught.what()));
    return kRefused;
  }
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return colon != std::string::npos && colon != 0 && colon + 1 < text.size();
}

}  // namespace

int RunStatus(const command_words& words) {
  bool json = false;
  std::vector<std::string> addresses;
  const arguments read = ReadArguments(
      words, {{.name = "json", .help = "as JSON", .flag = &json},
              {.name = "address", .help = "HOST:PORT", .texts = &addresses}});
  if (!read.sound) {
    return kBadInput;
  }
  addresses.insert(addresses.end(), read.words.begin(), read.words.end());
  if (addresses.empty()) {
    return Complain(kBadInput, "status needs --address HOST:PORT");
  }
  exit_code worst = kDone;
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) {
      return Complain(kBadInput, "not HOST:PORT: " + address);
    }
    const exit_code one = Show(address, json);
    worst = one == kDone ? worst : one;
  }
  return worst;
}

}  // namespace marjoramslip::cli
