#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "commands.h"
#include "http/http.h"
#include "targets/targets.h"

namespace jackdawturn {

// The options that all commands to a proxy's operator interface have.
struct OperatorLine {
  std::string address;
  std::string key_file;
  uint64_t timeout_ms = 5'000;
  std::string output = "text";

  Duration timeout() const { return std::chrono::milliseconds(timeout_ms); }
  bool json() const { return output == "json"; }
};

// Declares --timeout.
void AddTimeoutOption(CLI::App& command, OperatorLine& line);
// Declares --output with the given forms; the first one is the default.
void AddOutputOption(CLI::App& command,
                     OperatorLine& line,
                     const std::vector<std::string>& forms);
// Declares --key-file.
void AddKeyOption(CLI::App& command, OperatorLine& line);
// Declares --address, --key-file, --timeout and --output text|json.
void AddOperatorOptions(CLI::App& command, OperatorLine& line);

// Returns the value of the header "Authorization" for the key in the file.
// White space at the end of the file is not part of the key. Errors:
// kInvalidArgument, without the key.
Result<std::string> ReadAuthorization(const std::string& path);

// Reads a whole regular file; a pipe could let the command hang. Errors:
// kInvalidArgument.
Result<std::string> ReadTextFile(const std::string& path);

// Sends one call and waits for the answer, at most the line's timeout and
// `extra`. Errors: those of SendAndWait, kInvalidArgument for the address or
// the key file, kUnauthorized, and kExhausted when the rate limit refused the
// call.
Result<HttpResponse> CallOperator(const OperatorLine& line,
                                  const std::string& method,
                                  const std::string& target,
                                  const std::string& body,
                                  Duration extra = Duration(0));

// Gets `target` and prints the answer: with --output json as it came, else by
// `print_text`. Errors: those of CallOperator and of the proxy.
Result<int> PrintAnswer(
    const OperatorLine& line,
    const std::string& target,
    const std::function<void(const boost::json::object& answer)>& print_text);

// Parses an answer. Errors: kInternal, because the proxy sent it.
Result<boost::json::value> ParseAnswer(const HttpResponse& response);

// Returns the member as text, or "-" if it is absent.
std::string TextOf(const boost::json::object& object, std::string_view name);
// Returns the member, or an empty array or object if it is absent or of another
// type.
const boost::json::array& ArrayOf(const boost::json::object& object,
                                  std::string_view name);
const boost::json::object& ObjectOf(const boost::json::object& object,
                                    std::string_view name);

// Writes rows in aligned columns, two blanks apart.
void WriteTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& rows);

// Writes one line for each fault, with its JSON pointer.
void PrintFaults(std::ostream& out,
                 const std::string& file,
                 const std::vector<targets::DocumentFault>& faults);
boost::json::array FaultsToJson(
    const std::vector<targets::DocumentFault>& faults);

// Returns a new random id of a change.
std::string NewChangeId();

// Writes to the error output how the same change is asked for again. `words`
// are the words of the command after the name of the program.
void PrintHowToRepeat(const OperatorLine& line,
                      std::vector<std::string> words,
                      const std::string& change);

// True when the change may have taken effect in spite of the error.
bool IsUnknown(const Error& error);

// Each adds its commands; as AddOperatorCommands.
void AddCheckCommand(CLI::App& app, RunCommand& run);
void AddStatusCommand(CLI::App& app, RunCommand& run);
void AddTargetsCommands(CLI::App& app, RunCommand& run);
void AddFailoverCommand(CLI::App& app, RunCommand& run);
void AddDrainCommand(CLI::App& app, RunCommand& run);
void AddTimelineCommand(CLI::App& app, RunCommand& run);
void AddTallyCommand(CLI::App& app, RunCommand& run);

}  // namespace jackdawturn
