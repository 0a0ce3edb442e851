#include <unistd.h>

#include <csignal>

#include <iostream>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "commands.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace jackdawturn {

namespace {

constexpr const char* kVersion = "0.1.0";

uint64_t RandomSeed() {
  constexpr int kHalf = 32;
  std::random_device device;
  return (static_cast<uint64_t>(device()) << kHalf) | device();
}

// Runs until the graceful shutdown has ended, which SIGTERM, SIGINT or an
// operator starts. A second signal ends the process at once.
int RunUntilDrained(ProxyProcess& process) {
  boost::asio::io_context context;
  auto work = boost::asio::make_work_guard(context);
  int exit_code = kExitDone;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  process.OnExit([&](int code) {
    boost::asio::post(context, [&context, &exit_code, code] {
      exit_code = code;
      context.stop();
    });
  });
  signals.async_wait([&](boost::system::error_code, int) {
    process.Drain();
    signals.async_wait([&](boost::system::error_code, int) {
      exit_code = kExitFailure;
      context.stop();
    });
  });
  context.run();
  // The hook refers to variables of this function.
  process.OnExit(nullptr);
  process.Stop();
  return exit_code;
}

Result<int> Serve(const std::string& path) {
  TRY(const Settings settings, LoadSettings(path));
  TRY(auto options, OptionsFrom(settings, RandomSeed()));
  options.log_descriptor = STDOUT_FILENO;
  TRY(const auto process, ProxyProcess::Create(std::move(options)));
  std::cout << "operators=" << process->operators().ToString() << '\n'
            << "listening=" << process->callers().ToString() << std::endl;
  return RunUntilDrained(*process);
}

}  // namespace

void AddServeCommands(CLI::App& app, RunCommand& run) {
  auto path = std::make_shared<std::string>();
  auto* serve = app.add_subcommand(
      "serve", "Run a proxy until SIGTERM, then shut down gracefully.");
  serve->add_option("--settings", *path, "Settings file in JSON")->required();
  serve->callback([&run, path] { run = [path] { return Serve(*path); }; });

  auto* version = app.add_subcommand("version", "Print the version.");
  version->callback([&run] {
    run = []() -> Result<int> {
      std::cout << "jackdawturn " << kVersion << '\n';
      return kExitDone;
    };
  });
}

}  // namespace jackdawturn
