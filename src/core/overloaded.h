// Combines lambdas into a visitor for std::visit.
#pragma once

namespace turmericwell {

template <typename... Cases>
struct Overloaded : Cases...
{
    using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace turmericwell
