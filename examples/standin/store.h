#pragma once
// Stand-in for the weight store, which serves release manifests, and for the
// origin, which serves the bytes over a rate-limited link.

#include "siskindeal/manifest.h"
#include "standin/stand_in.h"

#include <map>
#include <string>

namespace siskindeal::standin {

struct StoreOptions
{
  StandInOptions m_standIn;
  std::string m_directory;            // of the files to publish
  std::uint64_t m_bytesPerSecond = 0; // origin link; 0: unlimited
  double m_requestsPerSecond = 200;
};

class StoreStandIn final : public StandIn
{
public:
  explicit StoreStandIn(StoreOptions aOptions);
  ~StoreStandIn() override;

  // Publishes a file of the directory as release aName, replacing an earlier
  // release of that name. Returns the manifest digest. An adapter gives the
  // digest of its base.
  std::string Publish(const std::string& aName,
                      const std::string& aFile,
                      std::uint64_t aChunkBytes,
                      const std::string& aBaseDigest = "");
  // Publishes bytes in memory.
  std::string PublishBytes(const std::string& aName,
                           const std::string& aFile,
                           std::string aBytes,
                           std::uint64_t aChunkBytes,
                           const std::string& aBaseDigest = "");

  // Bytes of weights sent.
  std::uint64_t OriginBytes() const;
  void SetRate(std::uint64_t aBytesPerSecond)
  {
    m_link->SetRate(aBytesPerSecond);
  }

protected:
  void Handle(HttpRequest aRequest, const Responder& aResponder) override;

private:
  void HandleRelease(const std::string& aName, const Responder& aResponder);
  void HandleOrigin(const HttpRequest& aRequest,
                    const std::string& aFile,
                    const Responder& aResponder);
  void HandleAdmin(const HttpRequest& aRequest, const Responder& aResponder);
  bool TakeToken();

  const StoreOptions m_options;
  const std::shared_ptr<Link> m_link;
  absl::Mutex m_mutex;
  std::map<std::string, Manifest> m_releases ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::shared_ptr<const std::string>> m_files
    ABSL_GUARDED_BY(m_mutex);
  double m_tokens ABSL_GUARDED_BY(m_mutex) = 0;
  Time m_lastRefill ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal::standin
