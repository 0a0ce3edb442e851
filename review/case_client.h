#pragma once

#include "case_world.h"

namespace review {

struct Reply {
  // False when the connection ended or nothing came in time.
  bool answered = false;
  bool done = false;
  // The code of an error.
  std::string code;
  std::string message;
  std::string signature;
  std::vector<std::string> rows;
  std::string state;
};

// A client's session with a gateway. Not thread-safe.
class Client {
 public:
  // `name` begins the ids of its statements.
  Client(std::string name, const Gateway& gateway);
  // Opens a session; returns whether the gateway said READY.
  bool Open(const std::string& database);
  bool is_open() const { return m_socket != nullptr; }
  // Sends a statement and waits for its answer.
  Reply Query(const std::string& text, Ms timeout = Ms(2'500));
  // Sends statements without waiting for answers.
  bool Send(const std::string& lines) { return m_socket->Write(lines); }
  Reply ReadReply(Ms timeout);
  // Returns an id that was not used before, and remembers that it was sent.
  std::string NewId();
  // The id of the last statement.
  const std::string& last_id() const { return m_last_id; }
  void Close();
  // Ends the connection; another thread may still be sending.
  void Shut() { m_socket->Shut(); }
  // Whether statements and answers are written to the record.
  bool recorded = true;

 private:
  const std::string m_name;
  const Gateway& m_gateway;
  std::shared_ptr<Socket> m_socket;
  std::string m_last_id;
  uint64_t m_statements = 0;
};

}  // namespace review
