#include "operator_commands.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "ports/ports.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr const char* kStep = "command_line";
constexpr uint64_t kMaxTimeoutMs = 3'600'000;

// Quotes a word for a POSIX shell if it needs it.
std::string ShellWord(const std::string& word) {
  const bool plain =
      !word.empty() && std::all_of(word.begin(), word.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               std::string_view("-_./:=,@").find(c) != std::string_view::npos;
      });
  if (plain)
    return word;
  std::string quoted = "'";
  for (const char c : word)
    quoted += c == '\'' ? std::string(R"('\'')") : std::string(1, c);
  return quoted + '\'';
}

}  // namespace

void AddTimeoutOption(CLI::App& command, OperatorLine& line) {
  command
      .add_option("--timeout", line.timeout_ms,
                  "Longest wait for an answer, in milliseconds")
      ->check(CLI::Range(uint64_t{1}, kMaxTimeoutMs))
      ->capture_default_str();
}

void AddOutputOption(CLI::App& command,
                     OperatorLine& line,
                     const std::vector<std::string>& forms) {
  line.output = forms.front();
  command.add_option("--output", line.output, "Form of the output")
      ->check(CLI::IsMember(forms))
      ->capture_default_str();
}

void AddKeyOption(CLI::App& command, OperatorLine& line) {
  command
      .add_option("--key-file", line.key_file,
                  "File that contains the key of the operators")
      ->required();
}

void AddOperatorOptions(CLI::App& command, OperatorLine& line) {
  command
      .add_option("--address", line.address,
                  "IP:PORT where a proxy listens for operators")
      ->required();
  AddKeyOption(command, line);
  AddTimeoutOption(command, line);
  AddOutputOption(command, line, {"text", "json"});
}

Result<std::string> ReadTextFile(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error))
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "not a readable file: " + path);
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  // Inserting an empty buffer sets failbit of `text`, so the file is asked.
  if (!file.is_open() || file.bad())
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "not a readable file: " + path);
  return std::move(text).str();
}

Result<std::string> ReadAuthorization(const std::string& path) {
  TRY(std::string key, ReadTextFile(path));
  while (!key.empty() &&
         std::isspace(static_cast<unsigned char>(key.back())) != 0)
    key.pop_back();
  // A control character would end the header.
  const bool valid =
      !key.empty() && std::none_of(key.begin(), key.end(), [](char c) {
        return std::iscntrl(static_cast<unsigned char>(c)) != 0;
      });
  if (!valid)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "expected one line with a key in " + path);
  return "Bearer " + key;
}

Result<HttpResponse> CallOperator(const OperatorLine& line,
                                  const std::string& method,
                                  const std::string& target,
                                  const std::string& body,
                                  Duration extra) {
  TRY(const Endpoint endpoint, ParseEndpoint(line.address));
  TRY(const std::string authorization, ReadAuthorization(line.key_file));
  TRY(auto response, SendAndWait(endpoint, method, target, body, authorization,
                                 line.timeout() + extra));
  if (response.status == kHttpUnauthorized)
    return DecodeError(response, line.address);
  // The rate limit refuses a request before it is looked at.
  if (response.status == kHttpTooManyRequests)
    return Failure(ErrorCode::kExhausted, "operator.call", line.address,
                   "too many requests");
  return response;
}

Result<int> PrintAnswer(
    const OperatorLine& line,
    const std::string& target,
    const std::function<void(const json::object& answer)>& print_text) {
  TRY(const auto response, CallOperator(line, "GET", target, ""));
  if (response.status != kHttpOk)
    return DecodeError(response, line.address);
  TRY(const auto answer, ParseAnswer(response));
  if (line.json())
    std::cout << response.body << '\n';
  else
    print_text(answer.get_object());
  return kExitDone;
}

Result<json::value> ParseAnswer(const HttpResponse& response) {
  auto value = ParseJson(response.body, "operator.answer");
  if (!value || !value.value().is_object())
    return Failure(
        ErrorCode::kInternal, "operator.answer", "",
        "HTTP status " + std::to_string(response.status) +
            (value ? ", expected an object" : ": " + value.error().message));
  return value;
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null())
    return "-";
  if (const json::string* text = value->if_string())
    return text->empty() ? "-" : std::string(*text);
  if (const double* number = value->if_double()) {
    std::ostringstream text;
    text << *number;
    return text.str();
  }
  return json::serialize(*value);
}

const json::array& ArrayOf(const json::object& object, std::string_view name) {
  static const json::array empty;
  const json::value* value = object.if_contains(name);
  const json::array* array = value != nullptr ? value->if_array() : nullptr;
  return array != nullptr ? *array : empty;
}

const json::object& ObjectOf(const json::object& object,
                             std::string_view name) {
  static const json::object empty;
  const json::value* value = object.if_contains(name);
  const json::object* member = value != nullptr ? value->if_object() : nullptr;
  return member != nullptr ? *member : empty;
}

void WriteTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  }
  for (const auto& row : rows) {
    for (size_t column = 0; column < row.size(); ++column) {
      out << row[column];
      if (column + 1 < row.size())
        out << std::string(widths[column] - row[column].size() + 2, ' ');
    }
    out << '\n';
  }
}

std::string NewChangeId() {
  constexpr int kHalf = 32;
  std::random_device device;
  const uint64_t random = (static_cast<uint64_t>(device()) << kHalf) | device();
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return MakeRequestId(now, random).value();
}

void PrintHowToRepeat(const OperatorLine& line,
                      std::vector<std::string> words,
                      const std::string& change) {
  words.insert(words.end(), {"--address", line.address, "--key-file",
                             line.key_file, "--change", change});
  std::cerr << "The outcome is unknown; the change may have taken effect. To "
               "ask again without changing twice, run:\njackdawturn";
  for (const std::string& word : words)
    std::cerr << ' ' << ShellWord(word);
  std::cerr << '\n';
}

bool IsUnknown(const Error& error) {
  return error.code == ErrorCode::kTimeout ||
         error.code == ErrorCode::kInternal;
}

void AddOperatorCommands(CLI::App& app, RunCommand& run) {
  AddCheckCommand(app, run);
  AddStatusCommand(app, run);
  AddTargetsCommands(app, run);
  AddFailoverCommand(app, run);
  AddDrainCommand(app, run);
  AddTimelineCommand(app, run);
  AddTallyCommand(app, run);
}

}  // namespace jackdawturn
