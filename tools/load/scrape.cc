// Metrics in Prometheus' text format.

#include "scrape.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <cstdlib>
#include <iterator>
#include <sstream>

namespace load {

namespace {

constexpr std::string_view kCounter = "marjoramslip_requests_total{";
constexpr long kTimeoutS = 3;

std::optional<std::string> Fetch(const std::string& address) {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(kTimeoutS, 0));
    Poco::Net::HTTPRequest request("GET", "/metrics", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    return std::string(std::istreambuf_iterator<char>(body), {});
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

bool Has(std::string_view line, std::string_view label) {
  return line.find(label) != std::string_view::npos;
}

}  // namespace

void AddServedReads(std::string_view page, served_reads& into) {
  std::istringstream lines{std::string(page)};
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t end = line.rfind('}');
    const bool counts = line.starts_with(kCounter) &&
                        end != std::string::npos && Has(line, "kind=\"read\"");
    if (!counts) {
      continue;
    }
    const double value = std::strtod(line.c_str() + end + 1, nullptr);
    if (Has(line, "served_by=\"replica\"")) {
      into.replica += value;
    } else if (Has(line, "served_by=\"primary\"")) {
      into.primary += value;
    }
  }
}

std::optional<served_reads> ScrapeServedReads(
    const std::vector<std::string>& addresses) {
  served_reads sum;
  for (const std::string& address : addresses) {
    const auto page = Fetch(address);
    if (!page) {
      return std::nullopt;
    }
    AddServedReads(*page, sum);
  }
  return sum;
}

}  // namespace load
