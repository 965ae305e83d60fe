// Which processes of this proxy live, and what they hold: slots in a file that they share, each locked by its
// process for as long as this lives, however it ends.
#ifndef LEMONCROFT_HANDOVER_CENSUS_H_
#define LEMONCROFT_HANDOVER_CENSUS_H_

#include <filesystem>

#include "hot_restart/shares.h"
#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

class Census {
 public:
  static constexpr int kSlots = 8;

  // Without a file or a free slot this process is not counted by the others; it counts them all the same.
  explicit Census(const std::filesystem::path& tmpdir);

  bool counted() const { return slot_ >= 0; }
  void Tell(const Holding& holding) const;
  Others Look() const;

 private:
  runtime::Descriptor file_;
  int slot_ = -1;
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HANDOVER_CENSUS_H_
