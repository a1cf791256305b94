#pragma once
// Combines lambdas into one visitor for std::visit.

namespace siskindeal {

template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};

template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace siskindeal
