#include <iostream>

#include <glog/logging.h>
#include <CLI/CLI.hpp>

#include "commands.h"

namespace jackdawturn {
namespace {

int Main(int argc, char** argv) {
  CLI::App app("A database proxy with session consistency.", "jackdawturn");
  app.require_subcommand(1);
  RunCommand run;
  AddServeCommands(app, run);
  AddOperatorCommands(app, run);
  AddDemoCommand(app, run);
  AddBenchCommand(app, run);
  AddGatewayCommand(app, run);
  AddSoakCommand(app, run);
  AddStandinCommands(app, run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitDone : kExitUsage;
  }
  const Result<int> result = run();
  if (result)
    return result.value();
  std::cerr << "jackdawturn: " << result.error() << '\n';
  return result.error().code == ErrorCode::kInvalidArgument ? kExitUsage
                                                            : kExitFailure;
}

}  // namespace
}  // namespace jackdawturn

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  // Writes a stack trace before the process ends by a fault.
  google::InstallFailureSignalHandler();
  return jackdawturn::Main(argc, argv);
}
