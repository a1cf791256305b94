// The gateway's signals and the reload of its settings.

#include "gateway/gateway_p.h"

#include <csignal>
#include <exception>
#include <string>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// The file may still be written when the signal arrives, or be replaced later
// without a signal.
constexpr milliseconds kReadInterval{ 250 };
constexpr int kReadsPerReload = 9;

// The names of the changed settings that apply only at a start.
std::string
ChangesOfFixedSettings(const GatewaySettings& aFormer,
                       const GatewaySettings& aLatest)
{
  std::string names;
  const auto add = [&](bool aChanged, const char* aName) {
    if (aChanged) {
      names += (names.empty() ? "" : ", ") + std::string(aName);
    }
  };
  const GatewayRoleSettings& former = aFormer.m_gateway;
  const GatewayRoleSettings& latest = aLatest.m_gateway;
  add(aFormer.m_node != aLatest.m_node, "[node]");
  add(aFormer.m_platform != aLatest.m_platform, "[platform]");
  add(former.m_ready != latest.m_ready, "[gateway] ready");
  add(former.m_directory != latest.m_directory, "[gateway] directory");
  add(former.m_regions != latest.m_regions, "[gateway.regions]");
  add(former.m_evacuateWithin != latest.m_evacuateWithin,
      "[gateway] evacuate_within");
  return names;
}

} // namespace

RetryAllowance
AllowanceOf(const GatewayRoleSettings& aSettings)
{
  return { aSettings.m_retryRatio,
           milliseconds(
             static_cast<std::int64_t>(aSettings.m_retryWindowSeconds * 1000)),
           aSettings.m_retrySlack };
}

void
Gateway::AwaitSignal()
{
  m_signals.async_wait([this](const NetError& aError, int aSignal) {
    if (aError) {
      return;
    }
    AwaitSignal(); // first, so that an exception below leaves signals handled
    if (aSignal == SIGHUP) {
      m_reload = { kReadsPerReload, {}, {} };
      ReadSettings();
    } else {
      StartDrain();
    }
  });
}

void
Gateway::ReadSettings()
{
  if (m_settingsFile.empty()) {
    return;
  }
  --m_reload.m_readsLeft;
  try {
    ApplySettings(ReadGatewaySettings(m_settingsFile));
    m_reload.m_rejection.clear();
  } catch (const std::exception& error) {
    RecordRejection(error.what());
  }
  if (m_reload.m_readsLeft == 0) {
    return;
  }
  m_reloadTimer.expires_after(kReadInterval);
  m_reloadTimer.async_wait([this](const NetError& aError) {
    if (!aError) {
      ReadSettings();
    }
  });
}

void
Gateway::RecordRejection(const std::string& aReason)
{
  const bool isLast = m_reload.m_readsLeft == 0;
  if (aReason == m_reload.m_rejection && !isLast) {
    return;
  }
  m_reload.m_rejection = aReason;
  Log(LogLevel::Error,
      "settings rejected",
      { { "reason", aReason }, { "read_again", !isLast } });
}

void
Gateway::ApplySettings(const GatewaySettings& aLatest)
{
  if (m_reload.m_read == aLatest) {
    return;
  }
  m_reload.m_read = aLatest;
  const std::string fixed = ChangesOfFixedSettings(m_settings, aLatest);
  if (!fixed.empty()) {
    Log(
      LogLevel::Warning, "settings need a restart", { { "settings", fixed } });
  }
  const GatewayRoleSettings former = m_settings.m_gateway;
  GatewayRoleSettings& applied = m_settings.m_gateway;
  applied = aLatest.m_gateway;
  applied.m_ready = former.m_ready;
  applied.m_directory = former.m_directory;
  applied.m_regions = former.m_regions;
  applied.m_evacuateWithin = former.m_evacuateWithin;
  if (m_drainingSince) {
    // Requests were accepted for the time that was left then.
    applied.m_graceSeconds = former.m_graceSeconds;
    applied.m_answerLifetime = former.m_answerLifetime;
  }
  m_named.RaiseMaxAge(applied.m_versionWithin);
  m_retries.SetAllowance(AllowanceOf(applied));
  Log(LogLevel::Info, "settings reloaded");
}

} // namespace siskindeal
