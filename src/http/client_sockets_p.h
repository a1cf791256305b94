#pragma once
// The sockets of an HTTP client's connections. libcurl reuses a connection
// without a look at what has arrived on it since the last response, which would
// answer the next request. Used on the client's thread only.

#include <curl/curl.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace siskindeal {

class ClientSockets
{
public:
  // Has the sockets of aEasy's connections opened and closed by this table,
  // which must outlive them.
  void Attach(CURL* aEasy);

  // The two ends of a connection. A local port may serve connections to several
  // peers.
  struct Ends
  {
    std::string m_peerHost;
    int m_peerPort = 0;
    int m_localPort = 0;

    bool operator<(const Ends& aOther) const
    {
      return std::tie(m_peerHost, m_peerPort, m_localPort) <
             std::tie(aOther.m_peerHost, aOther.m_peerPort, aOther.m_localPort);
    }
  };

  // Whether the connection has been closed by the peer, or has received bytes
  // that weren't read.
  bool HasUnreadInput(const Ends& aConnection);

private:
  static curl_socket_t Open(void* aSelf,
                            curlsocktype aPurpose,
                            curl_sockaddr* aAddress);
  static int Close(void* aSelf, curl_socket_t aSocket);
  // Returns -1 if there is none.
  int Find(const Ends& aConnection);

  std::set<int> m_unknown; // sockets whose ends haven't been looked up yet
  std::map<Ends, int> m_known;
};

} // namespace siskindeal
