// Translates between the JSON of etcd's gateway and the key-value store:
// keys and values in base64, 64-bit integers as text, defaults left out.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_KV_CODEC_H_
#define MARJORAMSLIP_TOOLS_STANDIN_KV_CODEC_H_

#include "json_text.h"
#include "kv_store.h"

namespace standin {

/// A transaction as the gateway receives it.
struct kv_txn {
  std::vector<kv_compare> compares;
  std::vector<kv_operation> success;
  std::vector<kv_operation> failure;
};

// Readers throw Poco::Exception or std::exception on malformed input.
kv_range ReadRange(const json_object& request);
kv_put ReadPut(const json_object& request);
kv_txn ReadTxn(const json_object& request);

json_object WriteHeader(std::int64_t revision);
json_object WriteAnswer(const kv_operation& asked, const kv_answer& answer,
                        std::int64_t revision);
json_object WriteTxn(const kv_txn& asked, const kv_txn_answer& answer);

/// The line of a watch that carries changes.
json_object WriteChanges(const kv_changes& changes);

/// Sets `name` unless the value is the default 0.
void SetInteger(json_object object, const std::string& name,
                std::int64_t value);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_KV_CODEC_H_
