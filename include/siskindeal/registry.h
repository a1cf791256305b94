#pragma once
// Registries of plug-ins, one per interface. An implementation registers itself
// in its own source file:
//
//   namespace {
//   const Registration<RoutingPolicy> kRegistered(
//     "two_choices", [] { return std::make_unique<TwoChoices>(); });
//   }

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace siskindeal {

// Factories of the implementations of Interface, by name. Filled by static
// initializers before main and read-only afterwards. Args are the parameters of
// the factories.
template<typename Interface, typename... Args>
class Registry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  static Registry& Instance()
  {
    static Registry sRegistry;
    return sRegistry;
  }

  // Throws std::logic_error if the name is already registered.
  void Add(std::string_view aName, Factory aFactory)
  {
    if (!m_factories.emplace(aName, std::move(aFactory)).second) {
      throw std::logic_error("plug-in registered twice: " + std::string(aName));
    }
  }

  bool Has(std::string_view aName) const
  {
    return m_factories.find(std::string(aName)) != m_factories.end();
  }

  // Creates an instance. Throws std::invalid_argument that lists the known
  // names if the name is unknown.
  std::unique_ptr<Interface> Make(std::string_view aName, Args... aArgs) const
  {
    const auto found = m_factories.find(std::string(aName));
    if (found == m_factories.end()) {
      std::string known;
      for (const auto& name : Names()) {
        known += known.empty() ? name : ", " + name;
      }
      throw std::invalid_argument("no plug-in named \"" + std::string(aName) +
                                  "\"; known: " + known);
    }
    return found->second(std::forward<Args>(aArgs)...);
  }

  std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const auto& [name, factory] : m_factories) {
      names.push_back(name);
    }
    return names;
  }

private:
  std::map<std::string, Factory> m_factories;
};

// Registers one implementation when constructed; define as a static object.
template<typename Interface, typename... Args>
struct Registration
{
  Registration(std::string_view aName,
               typename Registry<Interface, Args...>::Factory aFactory)
  {
    Registry<Interface, Args...>::Instance().Add(aName, std::move(aFactory));
  }
};

} // namespace siskindeal
