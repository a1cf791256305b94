#pragma once
// HTTP client of the engine on the agent's VM: staging of chunks, load and
// unload orders, state. See docs/INTERFACES.md.

#include "siskindeal/weights_io.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// The engine's response to an order or a state query.
struct EngineState
{
  // The engine responded with 200. If not, an order may have taken effect
  // unless m_staleToken is set.
  bool m_answered = false;
  bool m_staleToken = false; // the engine rejected the fencing token as stale
  int m_status = 0;
  std::vector<std::string> m_loaded; // manifest digests
  std::string m_content;             // SHA-256 of the loaded bytes
  std::uint64_t m_fencingToken = 0;
  std::string m_error;
};

// Shared ownership keeps the client alive while calls are in flight.
class Engine : public std::enable_shared_from_this<Engine>
{
public:
  Engine(std::string aUrl, std::shared_ptr<WeightsIo> aIo);

  void Stage(const std::string& aDigest,
             std::uint32_t aIndex,
             std::string aBytes,
             std::function<void(bool)> aDone);
  // m_answered is false if the request failed; m_bytes is empty if the engine
  // does not hold the chunk.
  struct Staged
  {
    bool m_answered = false;
    std::optional<std::string> m_bytes;
  };
  void Read(const std::string& aDigest,
            std::uint32_t aIndex,
            std::function<void(Staged)> aDone);
  // Passes std::nullopt if the request failed.
  void ListStagedChunks(
    const std::string& aDigest,
    std::function<void(std::optional<std::vector<std::uint32_t>>)> aDone);
  void DropStaged(const std::string& aDigest);

  void Load(const std::string& aDigest,
            const std::string& aBase,
            std::uint32_t aChunks,
            std::uint64_t aToken,
            std::function<void(EngineState)> aDone);
  void Unload(const std::string& aDigest,
              std::uint64_t aToken,
              std::function<void(EngineState)> aDone);
  void State(std::function<void(EngineState)> aDone);

private:
  void SendOrder(std::string aBody, std::function<void(EngineState)> aDone);
  HttpClientRequest MakeRequest(const std::string& aMethod,
                                const std::string& aPath) const;

  const std::string m_url;
  const std::shared_ptr<WeightsIo> m_io;
};

} // namespace siskindeal
