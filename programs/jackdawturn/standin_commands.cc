#include <csignal>

#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "commands.h"
#include "standin_servers/standin_servers.h"

namespace jackdawturn {

namespace {

// Prints where the stand-in listens and runs until SIGTERM or SIGINT.
int RunUntilSignal(boost::asio::io_context& context, const Endpoint& endpoint) {
  std::cout << "listening=" << endpoint.ToString() << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](boost::system::error_code, int) { context.stop(); });
  context.run();
  return kExitDone;
}

// Parses "NAME=IP:PORT" items.
Result<std::map<InstanceName, Endpoint>> ParseInstances(
    const std::vector<std::string>& items) {
  std::map<InstanceName, Endpoint> instances;
  for (const std::string& item : items) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos)
      return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                     "expected NAME=IP:PORT: " + item);
    TRY(instances[InstanceName(item.substr(0, equals))],
        ParseEndpoint(item.substr(equals + 1)));
  }
  return instances;
}

struct StandinLine {
  std::string listen = "127.0.0.1:0";
  std::string name;
  std::string primary;
  std::vector<std::string> peers;
  size_t connection_limit = 16;
};

Result<int> ServePlatform(const StandinLine& line) {
  boost::asio::io_context context;
  PlatformServerOptions options;
  TRY(options.listen, ParseEndpoint(line.listen));
  TRY(const auto server, PlatformServer::Create(context, options));
  return RunUntilSignal(context, server->endpoint());
}

Result<int> ServeInstance(const StandinLine& line) {
  boost::asio::io_context context;
  InstanceServerOptions options;
  options.name = InstanceName(line.name);
  options.initial_primary = InstanceName(line.primary);
  options.connection_limit = line.connection_limit;
  TRY(options.listen, ParseEndpoint(line.listen));
  TRY(options.peers, ParseInstances(line.peers));
  TRY(const auto server, InstanceServer::Create(context, options));
  return RunUntilSignal(context, server->endpoint());
}

}  // namespace

void AddStandinCommands(CLI::App& app, RunCommand& run) {
  auto line = std::make_shared<StandinLine>();
  auto* standin =
      app.add_subcommand("standin", "Run a stand-in, for tests and trials.");
  standin->require_subcommand(1);
  auto* platform =
      standin->add_subcommand("platform", "Stand-in for the platform.");
  auto* instance = standin->add_subcommand(
      "instance", "Stand-in for an instance of a group.");
  for (CLI::App* command : {platform, instance})
    command->add_option("--listen", line->listen,
                        "IP:PORT; port 0 takes a free one");
  instance->add_option("--name", line->name, "Name of the instance")
      ->required();
  instance->add_option("--primary", line->primary, "Primary of term 1");
  instance->add_option("--peer", line->peers,
                       "NAME=IP:PORT of an instance of the group");
  instance->add_option("--connections", line->connection_limit,
                       "Connections that can be open at a time");
  platform->callback(
      [&run, line] { run = [line] { return ServePlatform(*line); }; });
  instance->callback(
      [&run, line] { run = [line] { return ServeInstance(*line); }; });
}

}  // namespace jackdawturn
