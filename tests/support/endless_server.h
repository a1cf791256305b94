#pragma once
// A server that answers each connection's first bytes with bytes without end,
// until its peer closes.

#include "support/threaded_server.h"

#include <string>
#include <string_view>

namespace siskindeal {

class EndlessServer
{
public:
  // Sends aFirst once, then aRepeated again and again.
  EndlessServer(std::string aFirst, std::string aRepeated);

  Address ListenAddress() const { return m_server.ListenAddress(); }

private:
  void Serve(RawSocket aSocket, int aHandle) const;
  // Returns false once the peer has closed.
  bool SendAll(int aHandle, std::string_view aBytes) const;

  std::string m_first;
  std::string m_repeated;
  ThreadedServer m_server; // its threads use the members above
};

} // namespace siskindeal
