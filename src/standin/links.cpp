#include "standin/links.h"

namespace lemoncroft::standin {

void Links::Cut(Node from, Node to, bool cut) {
  auto [it, fresh] = special_.try_emplace({from, to}, usual_);
  it->second.cut = cut;
}

void Links::Heal() {
  sides_.clear();
  special_.clear();
}

const LinkFaults& Links::Of(Node from, Node to) const {
  if (special_.empty()) return usual_;
  const auto it = special_.find({from, to});
  return it == special_.end() ? usual_ : it->second;
}

bool Links::Open(Node from, Node to) const {
  if (Of(from, to).cut) return false;
  const auto a = sides_.find(from), b = sides_.find(to);
  return a == sides_.end() || b == sides_.end() || a->second == b->second;
}

}  // namespace lemoncroft::standin
