// A move-only owner of a file descriptor, which it closes when it is destroyed. Errors of close() are
// ignored.
#ifndef LEMONCROFT_RUNTIME_DESCRIPTOR_H_
#define LEMONCROFT_RUNTIME_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace lemoncroft::runtime {

class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }  // -1 if there is none
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_DESCRIPTOR_H_
