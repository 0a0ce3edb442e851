#pragma once

#include <functional>

#include <CLI/CLI.hpp>

#include "core/core.h"

namespace jackdawturn {

// Exit codes of the commands, for scripts.
inline constexpr int kExitDone = 0;
// The command could not do its work, for example for lack of an answer.
inline constexpr int kExitFailure = 1;
// The command line or a file is wrong.
inline constexpr int kExitUsage = 2;
// The request was refused, for example by a conflict, and changed nothing.
inline constexpr int kExitRefused = 3;

// A command that was chosen by the command line; returns the exit code.
using RunCommand = std::function<Result<int>()>;

// Each adds its commands to `app`; a chosen command sets `run`. Both must
// outlive the parsing and the run.
void AddServeCommands(CLI::App& app, RunCommand& run);
void AddStandinCommands(CLI::App& app, RunCommand& run);
void AddDemoCommand(CLI::App& app, RunCommand& run);
void AddBenchCommand(CLI::App& app, RunCommand& run);
void AddGatewayCommand(CLI::App& app, RunCommand& run);
void AddSoakCommand(CLI::App& app, RunCommand& run);
void AddOperatorCommands(CLI::App& app, RunCommand& run);

}  // namespace jackdawturn
