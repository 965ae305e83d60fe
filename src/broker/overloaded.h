// Combines several lambdas into one visitor for std::visit.
#ifndef LEMONCROFT_BROKER_OVERLOADED_H_
#define LEMONCROFT_BROKER_OVERLOADED_H_

namespace lemoncroft::broker {

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_OVERLOADED_H_
