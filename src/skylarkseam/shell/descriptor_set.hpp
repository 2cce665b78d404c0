// The watched descriptors of an event loop: one epoll set, which the loop's reactor watches as a whole, so
// that one wait takes everything that is ready.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace skylarkseam {

/// Which kind of readiness a descriptor is watched for, and was found to have.
struct readiness {
    bool readable = false;
    bool writable = false;
};

class descriptor_set {
public:
    using callback = std::function<void(readiness)>;

    /// Throws std::runtime_error where the system has no descriptor left for it.
    descriptor_set();
    ~descriptor_set();
    descriptor_set(const descriptor_set&) = delete;
    descriptor_set& operator=(const descriptor_set&) = delete;

    /// Watches a descriptor, level-triggered; watching it again replaces what it is watched for.
    void watch(int fd, readiness interest, callback on_ready);
    void unwatch(int fd);

    /// The descriptor that is readable while any of the set is ready.
    [[nodiscard]] int fd() const { return fd_; }

    /// Calls back for what is ready now, without waiting.
    void dispatch();

private:
    struct entry {
        std::uint32_t generation = 0; ///< tells a descriptor's use from earlier ones of the same number
        bool watched = false;
        std::shared_ptr<callback> on_ready;
    };

    int fd_ = -1;
    std::vector<entry> entries_; ///< by descriptor
};

} // namespace skylarkseam
