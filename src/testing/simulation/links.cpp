#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

void Links::Cut(Node from, Node to, bool cut) {
  auto [it, inserted] = link_faults_.try_emplace({from, to}, default_faults_);
  it->second.cut = cut;
}

void Links::Heal() {
  sides_.clear();
  link_faults_.clear();
}

void Links::Garble(Node from, Node to, std::string& bytes) {
  if (DrawUniform() < FaultsOf(from, to).garble && !bytes.empty())
    bytes[random_() % bytes.size()] ^= static_cast<char>(1 << random_() % 8);
}

const LinkFaults& Links::FaultsOf(Node from, Node to) const {
  if (link_faults_.empty()) return default_faults_;
  const auto it = link_faults_.find({from, to});
  return it == link_faults_.end() ? default_faults_ : it->second;
}

bool Links::IsOpen(Node from, Node to) const {
  if (FaultsOf(from, to).cut) return false;
  const auto a = sides_.find(from), b = sides_.find(to);
  if (a == sides_.end() || b == sides_.end()) return true;
  return std::any_of(a->second.begin(), a->second.end(), [&](int side) { return b->second.contains(side); });
}

}  // namespace lemoncroft::simulation
