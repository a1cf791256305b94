#include "siskindeal/routing.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Random draws before falling back to a scan of all candidates.
constexpr int kMaxRandomDraws = 6;
// Utilization added to the cost of a runner in another place.
constexpr double kOtherPlacePenalty = 0.1;
// A prefix holder is used up to this multiple of the average utilization.
constexpr double kMaxAffinityRatio = 1.25;
// Below this utilization a holder has free slots, so affinity adds no wait.
constexpr double kMinAffinityUtilization = 0.5;

using Candidates = std::vector<Candidate>;

bool
IsUsable(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  return !aCandidate.m_ejected && IsEligible(aCandidate, aRequest);
}

double
Cost(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  const double utilization =
    aCandidate.m_load / std::max(1U, aCandidate.m_slots);
  return aCandidate.m_place == aRequest.m_place
           ? utilization
           : utilization + kOtherPlacePenalty;
}

// Returns a usable candidate other than aExcluded, drawn uniformly at random.
std::optional<std::size_t>
DrawUsable(const Candidates& aCandidates,
           const RoutingRequest& aRequest,
           std::optional<std::size_t> aExcluded,
           Random& aRandom)
{
  for (int draw = 0; draw < kMaxRandomDraws && !aCandidates.empty(); ++draw) {
    const auto index = aRandom.Below(aCandidates.size());
    if (index != aExcluded && IsUsable(aCandidates[index], aRequest)) {
      return index;
    }
  }
  std::vector<std::size_t> usable;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (index != aExcluded && IsUsable(aCandidates[index], aRequest)) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[aRandom.Below(usable.size())];
}

std::optional<std::size_t>
ChooseBetterOfTwo(const Candidates& aCandidates,
                  const RoutingRequest& aRequest,
                  Random& aRandom)
{
  const auto first = DrawUsable(aCandidates, aRequest, std::nullopt, aRandom);
  if (!first) {
    return std::nullopt;
  }
  const auto second = DrawUsable(aCandidates, aRequest, first, aRandom);
  if (!second) {
    return first;
  }
  const bool firstWins =
    Cost(aCandidates[*first], aRequest) <= Cost(aCandidates[*second], aRequest);
  return firstWins ? first : second;
}

class RandomChoice final : public RoutingPolicy
{
public:
  std::optional<std::size_t> Choose(const Candidates& aCandidates,
                                    const RoutingRequest& aRequest,
                                    const PrefixTable& aPrefixes,
                                    MonotonicTime aNow,
                                    Random& aRandom) const override
  {
    return DrawUsable(aCandidates, aRequest, std::nullopt, aRandom);
  }
};

class TwoChoices final : public RoutingPolicy
{
public:
  std::optional<std::size_t> Choose(const Candidates& aCandidates,
                                    const RoutingRequest& aRequest,
                                    const PrefixTable& aPrefixes,
                                    MonotonicTime aNow,
                                    Random& aRandom) const override
  {
    return ChooseBetterOfTwo(aCandidates, aRequest, aRandom);
  }
};

// Selects the least loaded holder of the prefix if its utilization is within a
// bound, otherwise the better of two random candidates.
class PrefixTwoChoices final : public RoutingPolicy
{
public:
  std::optional<std::size_t> Choose(const Candidates& aCandidates,
                                    const RoutingRequest& aRequest,
                                    const PrefixTable& aPrefixes,
                                    MonotonicTime aNow,
                                    Random& aRandom) const override
  {
    const auto holders = aPrefixes.Holders(aRequest.m_prefixHash, aNow);
    if (holders.empty()) {
      return ChooseBetterOfTwo(aCandidates, aRequest, aRandom);
    }
    const double maxUtilization = MaxUtilization(aCandidates, aRequest);
    std::optional<std::size_t> best;
    for (const auto& holder : holders) {
      if (holder.m_unconfirmed && best) {
        break;
      }
      const auto index = IndexOf(aCandidates, holder.m_vm);
      if (!index || !IsUsable(aCandidates[*index], aRequest) ||
          aCandidates[*index].m_load + 1 >
            maxUtilization * aCandidates[*index].m_slots) {
        continue;
      }
      if (!best || aCandidates[*index].m_load < aCandidates[*best].m_load) {
        best = index;
      }
    }
    return best ? best : ChooseBetterOfTwo(aCandidates, aRequest, aRandom);
  }

private:
  static std::optional<std::size_t> IndexOf(const Candidates& aCandidates,
                                            const std::string& aVm)
  {
    for (std::size_t index = 0; index < aCandidates.size(); ++index) {
      if (aCandidates[index].m_vm == aVm) {
        return index;
      }
    }
    return std::nullopt;
  }

  // Returns the utilization up to which a holder is used: a multiple of the
  // average, but at least kMinAffinityUtilization.
  static double MaxUtilization(const Candidates& aCandidates,
                               const RoutingRequest& aRequest)
  {
    double load = 1;
    double slots = 1;
    for (const auto& candidate : aCandidates) {
      if (IsUsable(candidate, aRequest)) {
        load += candidate.m_load;
        slots += candidate.m_slots;
      }
    }
    return std::max(kMinAffinityUtilization, kMaxAffinityRatio * load / slots);
  }
};

const Registration<RoutingPolicy> kRandom("random", [] {
  return std::make_unique<RandomChoice>();
});
const Registration<RoutingPolicy> kTwoChoices("two_choices", [] {
  return std::make_unique<TwoChoices>();
});
const Registration<RoutingPolicy> kPrefixTwoChoices("prefix_two_choices", [] {
  return std::make_unique<PrefixTwoChoices>();
});

} // namespace

bool
IsEligible(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  if (!aCandidate.m_acceptsRequests) {
    return false;
  }
  for (const auto& tried : aRequest.m_tried) {
    if (tried == aCandidate.m_vm) {
      return false;
    }
  }
  if (aRequest.m_class.empty()) {
    return true;
  }
  return std::find(aCandidate.m_classes.begin(),
                   aCandidate.m_classes.end(),
                   aRequest.m_class) != aCandidate.m_classes.end();
}

} // namespace siskindeal
