// The command line of the program lemoncroft, the proxy.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include "cli/log.h"
#include "cli/rules_command.h"
#include "cli/state_command.h"
#include "operator_config/operator_file.h"
#include "peer_transport/link.h"
#include "proxy/config.h"
#include "proxy/config_fields.h"
#include "proxy/proxy.h"
#include "proxy/signals.h"

namespace {

namespace fields = lemoncroft::proxy::fields;

constexpr const char* kVersion = LEMONCROFT_VERSION;  // set by the build
constexpr int kUsageError = 2;
constexpr const char *kTextFormat = "text", *kJsonFormat = "json";  // values of --log-format

struct Options {
  std::string config, operator_file, state;
  std::string log_level = "info", log_format = kTextFormat;
  bool json = false;
  lemoncroft::cli::RulesCommand rules;
};

int CheckConfig(const Options& options) {
  using namespace lemoncroft;
  const proxy::Config config = proxy::LoadConfig(options.config);
  for (const settings::Finding& finding : config.findings)
    if (finding.severity == settings::Severity::kWarning)
      std::printf("%s: warning: %s\n", options.config.c_str(), finding.text.c_str());
  try {
    proxy::CheckSettings(config);
  } catch (const proxy::ConfigError& e) {
    throw proxy::ConfigError(options.config + ": " + e.what());
  }
  if (!options.operator_file.empty()) operator_config::LoadOperatorFile(options.operator_file, config.site);
  std::printf("%s: good: %s on %s, %zu classes\n", options.config.c_str(), config.name.c_str(),
              config.listen_address_text.c_str(), config.site.classes.size());
  if (!options.operator_file.empty()) std::printf("%s: good\n", options.operator_file.c_str());
  return 0;
}

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

int Serve(const Options& options) {
  using namespace lemoncroft::proxy;
  Config config = LoadConfig(options.config);
  CheckServable(config);
  LogFindings(config);
  // A process that replaces another one needs an admin address of its own, while both may read the same file.
  const std::string admin_address = EnvironmentVariable(fields::kAdminAddressVariable);
  if (!admin_address.empty())
    config.admin_address = ParseAddress(admin_address, fields::kAdminAddressVariable);
  return RunProxy(std::move(config), {options.config, options.operator_file,
                                      EnvironmentVariable(fields::kInheritedListenerVariable)});
}

// Returns the path of the state file that a running proxy writes for this command, from the operator's file.
std::string StateFile(const Options& options, const std::string& command) {
  using namespace lemoncroft;
  if (options.operator_file.empty()) throw proxy::ConfigError(command + ": give --state or --operator");
  const operator_config::OperatorFile file =
      operator_config::LoadOperatorFile(options.operator_file, proxy::LoadConfig(options.config).site);
  std::string state;
  if (command == "peers" && file.fleet) state = file.fleet->state_file;
  if (command == "waiting" && file.admission_queue) state = file.admission_queue->state_file;
  if (state.empty()) throw proxy::ConfigError(options.operator_file + ": names no state file for " + command);
  return state;
}

// Sets the options that the command line does not have from the files: the fleet's name, the proxy's address,
// store and name.
void CompleteRulesCommand(const Options& options, lemoncroft::cli::RulesCommand& command) {
  using namespace lemoncroft;
  if (!command.fleet.empty() && (!command.addresses.empty() || command.action == cli::RulesAction::kRecover))
    return;
  if (options.operator_file.empty()) throw proxy::ConfigError("rules: give --operator, or --fleet and --at");
  const proxy::Config config = proxy::LoadConfig(options.config);
  const operator_config::OperatorFile file =
      operator_config::LoadOperatorFile(options.operator_file, config.site);
  if (!file.fleet || !file.replicated_config)
    throw proxy::ConfigError(options.operator_file + ": has no `rules`");
  command.fleet = file.fleet->name;
  if (command.addresses.empty())
    for (const gossip::PeerAddress& listen : file.fleet->listen)
      command.addresses.push_back(peer_transport::ToString(listen));
  if (command.store.empty()) command.store = file.replicated_config->store;
  if (command.proxy_name.empty()) command.proxy_name = config.name;
}

void AddRules(CLI::App& app, lemoncroft::cli::RulesCommand& command) {
  auto* rules = app.add_subcommand("rules", "show and change what the fleet agrees on")->fallthrough();
  rules->require_subcommand(0, 1);
  rules->add_option("--at", command.addresses, "where the proxy is reached by its peers");
  rules->add_option("--fleet", command.fleet, "the fleet's name");
  rules->add_option("--patience", command.timeout_s, "seconds to wait for an answer")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  rules->add_flag("--json", command.json, "as JSON");
  using Action = lemoncroft::cli::RulesAction;
  const auto add = [&](Action action, const char* name, const char* description) {
    CLI::App* subcommand = rules->add_subcommand(name, description)->fallthrough();
    subcommand->callback([&command, action] { command.action = action; });
    return subcommand;
  };
  add(Action::kShow, "show", "the version in force at this proxy, and who is on which (the default)");
  add(Action::kHistory, "history", "the versions that are kept");
  auto* propose = add(Action::kPropose, "propose", "propose a document as the next version");
  propose->add_option("file", command.file, "the document, in KDL; - for standard input")->required();
  propose->add_option("--from", command.first, "the version that it was made from; without it the newest");
  auto* diff = add(Action::kDiff, "diff", "what differs between two versions");
  diff->add_option("first", command.first, "a version")->required();
  diff->add_option("second", command.second, "another")->required();
  add(Action::kRevert, "revert", "propose an earlier version's document as the next one")
      ->add_option("version", command.first, "the earlier version")
      ->required();
  add(Action::kWait, "wait", "wait until every live proxy is on a version")
      ->add_option("version", command.first, "the version")
      ->required();
  auto* voters = add(Action::kChangeVoters, "voters", "let a voter in, or out");
  voters->add_option("way", command.voter_change, "in or out")
      ->required()
      ->check(CLI::IsMember({"in", "out"}));
  voters->add_option("name", command.proxy_name, "the proxy's name")->required();
  auto* refound =
      add(Action::kRecover, "refound", "where a majority of the voters' stores is lost: go on with this one");
  refound->add_option("--store", command.store, "the store; without it, the one of the operator's file");
  refound->add_option("--name", command.proxy_name, "its proxy's name; likewise");
  refound->add_option("--confirm", command.confirm, "what the command prints without it");
}

// The sub-commands that RunCommand distinguishes.
struct Subcommands {
  CLI::App *check_config, *waiting, *peers, *version, *help;
};

void AddOptions(CLI::App& app, Options& options) {
  app.set_help_flag("-h,--help", "print this text");
  app.set_version_flag("-V,--version", std::string("lemoncroft ") + kVersion);
  app.add_option("-c,--config", options.config,
                 "the configuration; without it, the file that PROXY_CONFIG names");
  app.add_option("-o,--operator", options.operator_file,
                 "the operator's file: what is switched on beyond that");
  app.add_option("-l,--log-level", options.log_level, "trace, debug, info, warning, error or off")
      ->capture_default_str();
  app.add_option("--log-format", options.log_format, "text, or json: an object a line")
      ->check(CLI::IsMember({kTextFormat, kJsonFormat}))
      ->capture_default_str();
}

Subcommands AddSubcommands(CLI::App& app, Options& options) {
  app.require_subcommand(0, 1);
  app.add_subcommand("serve", "run the proxy (the default)")->fallthrough();
  Subcommands commands{};
  commands.check_config =
      app.add_subcommand("check-config", "read the files, say what is wrong with them, and end");
  commands.waiting = app.add_subcommand("waiting", "show what waits at a running proxy, by team");
  commands.peers = app.add_subcommand("peers", "show whom a running proxy holds for alive in its fleet");
  commands.version = app.add_subcommand("version", "print the version");
  commands.help = app.add_subcommand("help", "print this text");
  AddRules(app, options.rules);
  for (CLI::App* command :
       {commands.check_config, commands.waiting, commands.peers, commands.version, commands.help})
    command->fallthrough();
  for (CLI::App* command : {commands.waiting, commands.peers}) {
    command->add_option("-s,--state", options.state, "the state file that the operator's file names");
    command->add_flag("--json", options.json, "as JSON");
  }
  return commands;
}

int ShowState(Options& options, const Subcommands& commands) {
  using namespace lemoncroft;
  const bool shows_fleet = commands.peers->parsed();
  if (options.state.empty()) options.state = StateFile(options, shows_fleet ? "peers" : "waiting");
  const cli::OutputFormat format = options.json ? cli::OutputFormat::kJson : cli::OutputFormat::kText;
  return shows_fleet ? cli::ShowFleetState(options.state, format)
                     : cli::ShowQueueState(options.state, format);
}

int RunCommand(const CLI::App& app, Options& options, const Subcommands& commands) {
  using namespace lemoncroft;
  if (*commands.help) return std::fputs(app.help().c_str(), stdout) < 0;
  if (*commands.version) return std::printf("lemoncroft %s\n", kVersion) < 0;
  cli::SetUpLog(options.log_level,
                options.log_format == kJsonFormat ? cli::LogFormat::kJson : cli::LogFormat::kText);
  if (app.got_subcommand("rules")) {
    CompleteRulesCommand(options, options.rules);
    return cli::RunRules(options.rules);
  }
  const bool shows_state = *commands.waiting || *commands.peers;
  if (options.config.empty() && !(shows_state && !options.state.empty()))
    throw proxy::ConfigError("no configuration: give --config or set PROXY_CONFIG");
  if (shows_state) return ShowState(options, commands);
  return *commands.check_config ? CheckConfig(options) : Serve(options);
}

int Run(int argc, char** argv) {
  Options options;
  options.config = EnvironmentVariable(fields::kConfigPathVariable);
  CLI::App app("A proxy between clients that send SQL queries and the engines that run them.", "lemoncroft");
  AddOptions(app, options);
  const Subcommands commands = AddSubcommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);
    std::fprintf(stderr, "lemoncroft: %s\nusage: lemoncroft [command] [options]\n%s", e.what(),
                 app.help().c_str());
    return kUsageError;
  }
  return RunCommand(app, options, commands);
}

}  // namespace

int main(int argc, char** argv) {
  lemoncroft::proxy::BlockHandledSignals();
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft: %s\n", e.what());
    return 1;
  }
}
