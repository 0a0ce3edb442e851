#include "case_client.h"

namespace review {

Client::Client(std::string name, const Gateway& gateway)
    : m_name(std::move(name)), m_gateway(gateway) {}

bool Client::Open(const std::string& database) {
  m_socket = Socket::Connect(m_gateway.ports().ip, m_gateway.ports().clients);
  std::string line;
  if (m_socket &&
      m_socket->Write("STARTUP " + database + " " + m_name + "\r\n") &&
      m_socket->ReadLine(line, Ms(2'000)) && line.starts_with("READY "))
    return true;
  if (recorded)
    Note(m_name + ": no session at " + m_gateway.name() + ": " + line);
  m_socket.reset();
  return false;
}

std::string Client::NewId() {
  m_last_id = m_name + "x" + std::to_string(++m_statements);
  return m_last_id;
}

Reply Client::Query(const std::string& text, Ms timeout) {
  const std::string id = NewId();
  if (recorded)
    Note(m_name + " sends to " + m_gateway.name() + ": " + id + " " + text);
  Reply reply;
  if (m_socket && Send("QUERY " + id + " " + text + "\r\n"))
    reply = ReadReply(timeout);
  if (recorded)
    Note(m_name + " gets for " + id + ": " +
         (!reply.answered ? "no answer"
          : reply.done    ? "COMPLETE " + reply.signature
                          : "ERROR " + reply.code + " " + reply.message) +
         " " + reply.state);
  if (!reply.answered)
    Close();
  return reply;
}

Reply Client::ReadReply(Ms timeout) {
  Reply reply;
  std::string line;
  while (m_socket->ReadLine(line, timeout)) {
    const size_t blank = line.find(' ');
    const std::string word = line.substr(0, blank);
    const std::string rest =
        blank == std::string::npos ? "" : line.substr(blank + 1);
    if (word == "DATAROW")
      reply.rows.push_back(rest);
    if (word == "COMPLETE") {
      reply.done = true;
      reply.signature = rest;
    }
    if (word == "ERROR") {
      reply.code = rest.substr(0, rest.find(' '));
      reply.message = rest.substr(std::min(rest.size(), reply.code.size() + 1));
    }
    if (word == "READY") {
      reply.answered = true;
      reply.state = rest;
      return reply;
    }
  }
  return reply;
}

void Client::Close() {
  if (m_socket)
    m_socket->Shut();
  m_socket.reset();
}

}  // namespace review
