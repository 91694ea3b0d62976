// How commands reach the key-value service.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_STORE_ACCESS_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_STORE_ACCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "arguments.h"
#include "marjoramslip/base/result.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/key_value_store.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::cli {

/// The options that name the service, and what they lead to.
class store_access {
 public:
  /// --config, --kv and --prefix. This must outlive their reading.
  std::vector<option> Options();

  /// Opens the store; false after the error has been told.
  bool Open();

  kv::key_value_store& Store() { return *store_; }
  kv::key_space Keys() const { return kv::key_space(prefix_); }

 private:
  std::string config_;
  std::vector<std::string> addresses_;
  std::string prefix_;
  std::unique_ptr<kv::key_value_store> store_;
};

/// Tells of an error; returns the exit code that stands for its kind.
int Explain(const error& failure);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_STORE_ACCESS_H_
