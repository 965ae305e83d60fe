// lemoncroft: the command line of the proxy.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "cli/config.h"
#include "cli/fleet.h"
#include "cli/log.h"
#include "cli/proxy.h"
#include "cli/state.h"
#include "operator/operator_file.h"

namespace {

constexpr const char* kVersion = LEMONCROFT_VERSION;  // the project's, from the build
constexpr int kUsageError = 2;

struct Options {
  std::string config, operator_file, state;
  std::string log_level = "info", log_format = "text";
  bool json = false;
};

int CheckConfig(const Options& options) {
  using namespace lemoncroft;
  const cli::Config config = cli::LoadConfig(options.config);
  try {
    cli::CheckFigures(config);
  } catch (const cli::ConfigError& e) {
    throw cli::ConfigError(options.config + ": " + e.what());
  }
  if (!options.operator_file.empty()) op::LoadOperatorFile(options.operator_file, config.site);
  std::printf("%s: good: %s on %s, %zu classes\n", options.config.c_str(), config.name.c_str(),
              config.listen_text.c_str(), config.site.classes.size());
  if (!options.operator_file.empty()) std::printf("%s: good\n", options.operator_file.c_str());
  return 0;
}

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

int Serve(const Options& options) {
  using namespace lemoncroft::cli;
  Config config = LoadConfig(options.config);
  // Each process that takes another's place has an address of its own; the file may be shared.
  const std::string management = Environment("PROXY_MANAGEMENT");
  if (!management.empty()) config.management = ReadAddress(management, "PROXY_MANAGEMENT");
  return RunProxy(config, {options.config, options.operator_file, Environment("PROXY_FD")});
}

// The file that a running proxy keeps up to date for the command, as its operator's file names it.
std::string StateFile(const Options& options, const std::string& command) {
  using namespace lemoncroft;
  if (options.operator_file.empty()) throw cli::ConfigError(command + ": give --state or --operator");
  const op::OperatorFile file =
      op::LoadOperatorFile(options.operator_file, cli::LoadConfig(options.config).site);
  std::string state;
  if (command == "peers" && file.fleet) state = file.fleet->state;
  if (command == "waiting" && file.waiting) state = file.waiting->state;
  if (state.empty()) throw cli::ConfigError(options.operator_file + ": names no state file for " + command);
  return state;
}

int Run(int argc, char** argv) {
  Options options;
  options.config = Environment("PROXY_CONFIG");
  CLI::App app("A proxy between clients that send SQL queries and the engines that run them.", "lemoncroft");
  app.set_help_flag("-h,--help", "print this text");
  app.set_version_flag("-V,--version", std::string("lemoncroft ") + kVersion);
  app.add_option("-c,--config", options.config,
                 "the configuration; without it, the file that PROXY_CONFIG names");
  app.add_option("-o,--operator", options.operator_file,
                 "the operator's file: what is switched on beyond that");
  app.add_option("-l,--log-level", options.log_level, "trace, debug, info, warning, error or off")
      ->capture_default_str();
  app.add_option("--log-format", options.log_format, "text, or json: an object a line")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  app.require_subcommand(0, 1);
  app.add_subcommand("serve", "run the proxy (the default)")->fallthrough();
  auto* check = app.add_subcommand("check-config", "read the files, say what is wrong with them, and end");
  auto* waiting = app.add_subcommand("waiting", "show what waits at a running proxy, by team");
  auto* peers = app.add_subcommand("peers", "show whom a running proxy holds for alive in its fleet");
  auto* version = app.add_subcommand("version", "print the version");
  auto* help = app.add_subcommand("help", "print this text");
  for (CLI::App* command : {check, waiting, peers, version, help}) command->fallthrough();
  for (CLI::App* command : {waiting, peers}) {
    command->add_option("-s,--state", options.state, "the state file that the operator's file names");
    command->add_flag("--json", options.json, "as JSON");
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);
    std::fprintf(stderr, "lemoncroft: %s\nusage: lemoncroft [command] [options]\n%s", e.what(),
                 app.help().c_str());
    return kUsageError;
  }
  if (*help) return std::fputs(app.help().c_str(), stdout) < 0;
  if (*version) return std::printf("lemoncroft %s\n", kVersion) < 0;
  lemoncroft::cli::SetUpLog(options.log_level, options.log_format == "json");
  const bool shows = *waiting || *peers;
  if (options.config.empty() && !(shows && !options.state.empty()))
    throw lemoncroft::cli::ConfigError("no configuration: give --config or set PROXY_CONFIG");
  if (shows) {
    if (options.state.empty()) options.state = StateFile(options, *peers ? "peers" : "waiting");
    return *peers ? lemoncroft::cli::ShowPeers(options.state, options.json)
                  : lemoncroft::cli::ShowState(options.state, options.json);
  }
  return *check ? CheckConfig(options) : Serve(options);
}

}  // namespace

int main(int argc, char** argv) {
  lemoncroft::cli::HoldSignals();
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft: %s\n", e.what());
    return 1;
  }
}
