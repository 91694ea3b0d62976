// A codec with a syntax of its own, for tests.

#ifndef MARJORAMSLIP_UNITTESTS_LINES_PLAIN_CODEC_H_
#define MARJORAMSLIP_UNITTESTS_LINES_PLAIN_CODEC_H_

#include <string>

#include "marjoramslip/lines/line_codec.h"

namespace marjoramslip::lines {

/// Formats messages as plain text; does not parse.
class plain_codec final : public line_codec {
 public:
  caller_line ParseCaller(std::string_view /*line*/) const override {
    return malformed_line{};
  }
  endpoint_line ParseEndpoint(std::string_view /*line*/) const override {
    return malformed_line{};
  }
  std::optional<endpoint_state> ParseState(
      std::string_view /*row*/) const override {
    return std::nullopt;
  }
  void AppendReady(transaction_status /*status*/,
                   std::string& out) const override {
    out += "ready;";
  }
  void AppendDone(std::string_view signature, std::string& out) const override {
    out.append("done ").append(signature).append(";");
  }
  void AppendError(caller_refusal /*reason*/, std::string_view text,
                   std::string& out) const override {
    out.append("error ").append(text).append(";");
  }
  void AppendUnchanged(std::string_view line, std::string& out) const override {
    out.append(line).append(";");
  }
  void AppendStartup(std::string_view service, std::string_view instance,
                     std::string_view endpoint,
                     std::string& out) const override {
    out.append("startup ").append(service).append(" ").append(instance);
    out.append(" ").append(endpoint).append(";");
  }
  void AppendStatement(std::string_view id, log_point /*after*/,
                       std::string_view text, std::string& out) const override {
    out.append(id).append(" ").append(text).append(";");
  }
  void AppendExecute(std::string_view id, log_point /*after*/,
                     std::string_view name, std::string_view arguments,
                     std::string& out) const override {
    out.append(id).append(" run ").append(name).append(" ");
    out.append(arguments).append(";");
  }
  void AppendReset(std::string& out) const override { out += "reset;"; }
  void AppendSet(std::string_view name, std::string_view value,
                 std::string& out) const override {
    out.append("set ").append(name).append("=").append(value).append(";");
  }
  void AppendPrepare(std::string_view name, bool /*writes*/,
                     std::string_view shape, std::string& out) const override {
    out.append("prepare ").append(name).append(" ").append(shape).append(";");
  }
  int AppendMarkers(std::string& out) const override {
    out += "marker;marker;";
    return 2;
  }
  void AppendStatus(std::string& out) const override { out += "status;"; }
  void AppendHold(term_number term, std::string& out) const override {
    out += "hold " + std::to_string(term) + ";";
  }
  void AppendResume(std::string& out) const override { out += "resume;"; }
  void AppendStepDown(term_number term, std::string& out) const override {
    out += "step down " + std::to_string(term) + ";";
  }
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_UNITTESTS_LINES_PLAIN_CODEC_H_
