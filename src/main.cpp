// lemoncroft: the command line of the proxy.
#include <getopt.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

#include "cli/config.h"
#include "cli/proxy.h"

namespace {

constexpr const char* kVersion = LEMONCROFT_VERSION;  // the project's, from the build
constexpr int kUsageError = 2;

constexpr const char* kUsage =
    "usage: lemoncroft [command] [options]\n"
    "\n"
    "commands:\n"
    "  serve          run the proxy (the default)\n"
    "  check-config   read the configuration, say what is wrong with it, and end\n"
    "  version        print the version\n"
    "  help           print this text\n"
    "\n"
    "options:\n"
    "  -c, --config FILE     the configuration; without it, the file that PROXY_CONFIG names\n"
    "  -l, --log-level NAME  trace, debug, info, warning, error or off; info without it\n"
    "  -h, --help            print this text\n"
    "  -V, --version         print the version\n";

struct Options {
  std::string command = "serve";
  std::string config;
  std::string log_level = "info";
  bool wrong = false;
};

Options ReadOptions(int argc, char** argv) {
  static const option kLong[] = {{"config", required_argument, nullptr, 'c'},
                                 {"log-level", required_argument, nullptr, 'l'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {"version", no_argument, nullptr, 'V'},
                                 {nullptr, 0, nullptr, 0}};
  Options out;
  if (const char* path = std::getenv("PROXY_CONFIG")) out.config = path;
  bool named = false;
  for (int c = 0; (c = getopt_long(argc, argv, "c:l:hV", kLong, nullptr)) != -1;) {
    if (c == 'c') out.config = optarg;
    if (c == 'l') out.log_level = optarg;
    if (c == 'h') out.command = "help", named = true;
    if (c == 'V') out.command = "version", named = true;
    if (c == '?') out.wrong = true;
  }
  if (optind < argc && !named) out.command = argv[optind++];
  if (optind < argc) out.wrong = true;
  return out;
}

int Run(const Options& options) {
  using namespace lemoncroft::cli;
  const std::string_view command = options.command;
  if (!options.wrong && command == "help") return std::fputs(kUsage, stdout) < 0;
  if (!options.wrong && command == "version") return std::printf("lemoncroft %s\n", kVersion) < 0;
  const bool serve = command == "serve", check = command == "check-config";
  if (options.wrong || (!serve && !check)) {
    std::fputs(kUsage, stderr);
    return kUsageError;
  }
  if (options.config.empty()) throw ConfigError("no configuration: give --config or set PROXY_CONFIG");
  const Config config = LoadConfig(options.config);
  if (check) {
    std::printf("%s: good: %s on %s, %zu classes\n", options.config.c_str(), config.name.c_str(),
                config.listen_text.c_str(), config.site.classes.size());
    return 0;
  }
  return RunProxy(config, options.config);
}

}  // namespace

int main(int argc, char** argv) {
  lemoncroft::cli::HoldSignals();
  try {
    const Options options = ReadOptions(argc, argv);
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_level(spdlog::level::from_str(options.log_level));
    spdlog::flush_on(spdlog::level::info);
    return Run(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft: %s\n", e.what());
    return 1;
  }
}
