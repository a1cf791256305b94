#pragma once
// Blocking HTTP/1.1 on loopback for the stand-ins: one thread a connection.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// A request or a response. Names of fields are in lower case.
struct Message
{
  std::string m_first; // request line or status line
  std::vector<std::pair<std::string, std::string>> m_fields;
  std::string m_body;
  bool m_complete = false;

  std::string Field(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// One TCP connection.
class Connection
{
public:
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects from a loopback address; returns null if that fails.
  static std::unique_ptr<Connection> Open(const std::string& aHost,
                                          std::uint16_t aPort);

  bool Send(const std::string& aBytes);
  // Reads one message. Returns nothing if the peer closes before its head is
  // complete. aTimeoutMs: of one read; 0 for none.
  std::optional<Message> Read(int aTimeoutMs = 0);
  // Ends reads and writes of any thread.
  void Shutdown();
  // Closes with a TCP reset once the connection is destroyed.
  void ResetOnClose();
  int Socket() const { return m_socket; }

private:
  bool Fill(int aTimeoutMs);
  bool ReadBody(Message& aMessage, int aTimeoutMs);
  bool ReadChunks(Message& aMessage, int aTimeoutMs);

  int m_socket;
  std::string m_in;
};

// Accepts connections on one address and handles each in a thread of its own.
class Server
{
public:
  // Returns false to end the connection.
  using Handler = std::function<bool(Connection&, const Message&)>;

  // Listens on a free port if aPort is 0.
  Server(std::string aHost, std::uint16_t aPort, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return m_port; }
  std::string Address() const;
  // Closes the listener and resets all connections, as if the process ended.
  void Stop();
  // Listens again on the same port.
  void Start();

private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& aConnection);

  std::string m_host;
  std::uint16_t m_port;
  Handler m_handler;
  std::atomic<int> m_listener{ -1 };
  std::atomic<int> m_running{ 0 };
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::set<std::shared_ptr<Connection>> m_connections;
};

// Returns the first of a row of ports that are free on all the hosts.
std::uint16_t
FreePorts(const std::vector<std::string>& aHosts, int aCount);

// Appends one header field to a head.
void
AppendField(std::string& aHead,
            const std::string& aName,
            const std::string& aValue);

std::string
Response(int aStatus,
         const std::vector<std::pair<std::string, std::string>>& aFields,
         const std::string& aBody);

} // namespace review
