#pragma once

namespace jackdawturn {

// Makes one visitor for std::visit out of several lambdas.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

// Compilers before C++20 rules for aggregates need the guide.
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace jackdawturn
