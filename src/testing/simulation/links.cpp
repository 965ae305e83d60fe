#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

void Links::Cut(Node from, Node to, bool cut) {
  auto [it, fresh] = special_.try_emplace({from, to}, usual_);
  it->second.cut = cut;
}

void Links::Heal() {
  sides_.clear();
  special_.clear();
}

void Links::Garble(Node from, Node to, std::string& bytes) {
  if (Draw() < Of(from, to).garble && !bytes.empty())
    bytes[random_() % bytes.size()] ^= static_cast<char>(1 << random_() % 8);
}

const LinkFaults& Links::Of(Node from, Node to) const {
  if (special_.empty()) return usual_;
  const auto it = special_.find({from, to});
  return it == special_.end() ? usual_ : it->second;
}

bool Links::Open(Node from, Node to) const {
  if (Of(from, to).cut) return false;
  const auto a = sides_.find(from), b = sides_.find(to);
  if (a == sides_.end() || b == sides_.end()) return true;
  return std::any_of(a->second.begin(), a->second.end(), [&](int side) { return b->second.contains(side); });
}

}  // namespace lemoncroft::simulation
