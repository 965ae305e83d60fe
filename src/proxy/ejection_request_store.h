// The EjectionRequests of one proxy, which its processes share through a file in $TMPDIR, so that an upgrade
// or the end of a process does not lose a request that an operator's call was told to be accepted.
//
// Without a file the requests belong to this process alone. A change takes effect in this process even if it
// can't be stored; Refresh() tries to store it again. Used on the event loop's thread; calls block for a few
// local file operations. The file's name contains the version of its format, which is shared with other
// versions of the program.
#ifndef LEMONCROFT_PROXY_EJECTION_REQUEST_STORE_H_
#define LEMONCROFT_PROXY_EJECTION_REQUEST_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "hot_restart/shared_file.h"
#include "replicated_config/ejection_requests.h"

namespace lemoncroft::proxy {

class EjectionRequestStore {
 public:
  static constexpr const char* kFileName = "lemoncroft-ejection-requests-1";

  // `file` is null if the requests are not shared. Reads the requests that are stored.
  explicit EjectionRequestStore(std::unique_ptr<hot_restart::SharedFile> file);

  const replicated_config::EjectionRequests& requests() const { return requests_; }
  bool is_shared() const { return file_ != nullptr; }
  // Applies `change` to the newest requests of all processes.
  void Update(const std::function<void(replicated_config::EjectionRequests&)>& change);
  // Takes over the changes of other processes and stores those of this process that are not stored yet.
  // Returns true if the requests have changed here.
  bool Refresh();
  // Returns true if a successor would know the request. Always true if the requests are not shared.
  bool IsStored(const std::string& request_id) const;

 private:
  // Takes over a stored text that another process has written. Requests that were accepted here and have
  // not been stored yet are kept.
  void Adopt(const std::string& text);
  // Records that the file has the requests as they are here.
  void MarkStored();

  std::unique_ptr<hot_restart::SharedFile> file_;
  replicated_config::EjectionRequests requests_;
  std::uint64_t revision_ = 0;  // of the text that was read or written last
  std::set<std::string> stored_ids_;
  bool has_unstored_change_ = false;
  bool reported_unreadable_ = false, reported_unwritable_ = false;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_EJECTION_REQUEST_STORE_H_
