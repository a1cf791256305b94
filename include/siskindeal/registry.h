#pragma once
// Plug-ins that register themselves with the kernel, one registry an interface.
//
// An implementation writes, in its own source file:
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

// The implementations of Interface by name. Filled by static objects before
// main and only read afterwards. Args are what a factory takes.
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

  // Throws std::logic_error if the name is taken.
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

  // Throws std::invalid_argument, naming what exists, for an unknown name.
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

// Registers one implementation when its static object is built.
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
