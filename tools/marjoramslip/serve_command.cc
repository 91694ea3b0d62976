// Runs an instance for callers and endpoints that speak PostgreSQL's protocol,
// with its records in etcd.

#include <memory>
#include <utility>

#include "arguments.h"
#include "commands.h"
#include "files.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/kv/etcd_store.h"
#include "marjoramslip/postgres/postgres_front.h"
#include "marjoramslip/postgres/postgres_links.h"
#include "marjoramslip/runtime/instance.h"

namespace marjoramslip::cli {
namespace {

/// Longest wait for one answer of the key-value service.
constexpr duration kStoreDeadline = std::chrono::seconds(2);

class postgres_edges final : public shell::instance_edges {
 public:
  postgres_edges(const instance_settings& settings, shell::event_loop& loop,
                 std::unique_ptr<kv::key_value_store> store,
                 std::unique_ptr<shell::postgres_front> front,
                 const std::string& peer_address)
      : store_(std::move(store)),
        front_(std::move(front)),
        links_(shell::MakePostgresLinks(settings, loop, *front_, *front_)),
        platform_(
            shell::MakePlatformLink(settings, *store_, loop, peer_address)) {
    front_->SetFlowListener(links_.get());
  }

  shell::caller_front& Front() override { return *front_; }
  shell::endpoint_links& Links() override { return *links_; }
  shell::platform_link& Platform() override { return *platform_; }

 private:
  std::unique_ptr<kv::key_value_store> store_;
  std::unique_ptr<shell::postgres_front> front_;
  std::unique_ptr<shell::postgres_links> links_;
  std::unique_ptr<shell::platform_link> platform_;
};

class postgres_edge_maker final : public shell::edge_maker {
 public:
  postgres_edge_maker(const instance_settings& settings, std::string path)
      : settings_(settings), path_(std::move(path)) {}

  std::string SettingsPath() const override { return path_; }

  result<std::unique_ptr<shell::instance_edges>> Make(
      shell::event_loop& loop, const std::string& peer_address) override {
    kv::etcd_options options;
    options.addresses = settings_.key_value_service;
    options.deadline = kStoreDeadline;
    BOOST_LEAF_AUTO(store, kv::MakeEtcdStore(options));
    BOOST_LEAF_AUTO(front, shell::MakePostgresFront(settings_, loop));
    return std::unique_ptr<shell::instance_edges>(
        std::make_unique<postgres_edges>(settings_, loop, std::move(store),
                                         std::move(front), peer_address));
  }

 private:
  const instance_settings& settings_;
  std::string path_;
};

}  // namespace

int RunServe(const command_words& words) {
  std::string config;
  const arguments read = ReadArguments(
      words, {{.name = "config", .help = "FILE", .text = &config}});
  if (!read.sound) {
    return kBadInput;
  }
  if (config.empty() || !read.words.empty()) {
    return Complain(kBadInput, "serve needs --config FILE and nothing else");
  }
  const auto settings = ReadSettingsFile(config);
  if (!settings) {
    return kBadInput;
  }
  postgres_edge_maker maker(*settings, config);
  const auto served =
      Attempt([&] { return shell::RunInstance(*settings, maker); });
  return served ? kDone : Complain(kRefused, served.failure.message);
}

}  // namespace marjoramslip::cli
