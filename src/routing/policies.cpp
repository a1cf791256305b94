#include "siskindeal/routing.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr int kDraws = 6; // random draws before looking at every candidate
// A runner in another place is taken when it is emptier by this share of slots.
constexpr double kPlaceMargin = 0.1;
// A prefix's holder is taken up to this multiple of the average load.
constexpr double kAffinityBound = 1.25;

using Candidates = std::vector<Candidate>;

bool
IsUsable(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  return !aCandidate.m_ejected && IsEligible(aCandidate, aRequest);
}

double
Cost(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  const double share = aCandidate.m_load / std::max(1U, aCandidate.m_slots);
  return aCandidate.m_place == aRequest.m_place ? share : share + kPlaceMargin;
}

// A usable candidate drawn evenly; nothing when there is none.
std::optional<std::size_t>
Draw(const Candidates& aCandidates,
     const RoutingRequest& aRequest,
     std::optional<std::size_t> aOther,
     Random& aRandom)
{
  for (int draw = 0; draw < kDraws && !aCandidates.empty(); ++draw) {
    const auto index = aRandom.Below(aCandidates.size());
    if (index != aOther && IsUsable(aCandidates[index], aRequest)) {
      return index;
    }
  }
  std::vector<std::size_t> usable;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (index != aOther && IsUsable(aCandidates[index], aRequest)) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[aRandom.Below(usable.size())];
}

std::optional<std::size_t>
TwoChoicesOf(const Candidates& aCandidates,
             const RoutingRequest& aRequest,
             Random& aRandom)
{
  const auto first = Draw(aCandidates, aRequest, std::nullopt, aRandom);
  if (!first) {
    return std::nullopt;
  }
  const auto second = Draw(aCandidates, aRequest, first, aRandom);
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
    return Draw(aCandidates, aRequest, std::nullopt, aRandom);
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
    return TwoChoicesOf(aCandidates, aRequest, aRandom);
  }
};

// The prefix's holder while it isn't loaded much above the average, else two
// choices.
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
      return TwoChoicesOf(aCandidates, aRequest, aRandom);
    }
    const double bound = LoadBound(aCandidates, aRequest);
    std::optional<std::size_t> best;
    for (const auto& holder : holders) {
      if (holder.m_doubtful && best) {
        break;
      }
      const auto index = IndexOf(aCandidates, holder.m_vm);
      if (!index || !IsUsable(aCandidates[*index], aRequest) ||
          aCandidates[*index].m_load + 1 >
            bound * aCandidates[*index].m_slots) {
        continue;
      }
      if (!best || aCandidates[*index].m_load < aCandidates[*best].m_load) {
        best = index;
      }
    }
    return best ? best : TwoChoicesOf(aCandidates, aRequest, aRandom);
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

  // Load over slots that a holder may reach: a multiple of the average, and
  // always half of its slots, below which affinity costs no waiting.
  static double LoadBound(const Candidates& aCandidates,
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
    return std::max(0.5, kAffinityBound * load / slots);
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
  if (!aCandidate.m_takesWork) {
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
