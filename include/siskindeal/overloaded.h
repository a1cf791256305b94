#pragma once
// A visitor of a std::variant made of lambdas.

namespace siskindeal {

template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};

template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace siskindeal
