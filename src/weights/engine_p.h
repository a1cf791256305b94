#pragma once
// The agent's own engine: staged bytes and orders. See docs/INTERFACES.md.

#include "siskindeal/weights_io.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Answers to an order or to a question about the engine's state.
struct EngineState
{
  bool m_answered = false; // false: unknown what the engine did
  bool m_stale = false;    // the engine refused the fencing token
  int m_status = 0;
  std::vector<std::string> m_loaded; // digests
  std::string m_content;             // SHA-256 of the bytes loaded
  std::uint64_t m_fencingToken = 0;
  std::string m_what;
};

// Shared, so that calls in progress keep it.
class Engine : public std::enable_shared_from_this<Engine>
{
public:
  Engine(std::string aUrl, std::shared_ptr<WeightsIo> aIo);

  void Stage(const std::string& aDigest,
             std::uint32_t aIndex,
             std::string aBytes,
             std::function<void(bool)> aDone);
  // Nothing where the engine doesn't answer; m_missing where it doesn't hold
  // it.
  struct Staged
  {
    bool m_answered = false;
    std::optional<std::string> m_bytes;
  };
  void Read(const std::string& aDigest,
            std::uint32_t aIndex,
            std::function<void(Staged)> aDone);
  // Nothing where the engine doesn't answer.
  void ListStaged(
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
  void Order(std::string aBody, std::function<void(EngineState)> aDone);
  HttpClientRequest Request(const std::string& aMethod,
                            const std::string& aPath) const;

  const std::string m_url;
  const std::shared_ptr<WeightsIo> m_io;
};

} // namespace siskindeal
