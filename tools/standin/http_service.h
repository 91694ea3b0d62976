// What the stand-ins that speak HTTP share.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_HTTP_SERVICE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_HTTP_SERVICE_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <functional>
#include <string>

namespace standin {

/// The whole body of a request.
std::string ReadBody(Poco::Net::HTTPServerRequest& request);

/// Closes the connection of a request without an answer.
void CloseUnanswered(Poco::Net::HTTPServerRequest& request);

/// Answers with JSON.
void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text);

/// Serves at an address, port 0 letting the system choose, prints it, and
/// calls `tick` every 20 ms on a thread of its own. Ends at SIGTERM or SIGINT,
/// which must be blocked: calls `end`, then waits for the requests in progress.
/// Takes over `factory`.
void ServeHttp(const std::string& host, std::uint16_t port,
               Poco::Net::HTTPRequestHandlerFactory* factory,
               const std::function<void()>& tick,
               const std::function<void()>& end);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_HTTP_SERVICE_H_
