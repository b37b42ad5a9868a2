// A visitor for std::variant made of lambdas.
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
