#include <skylarkseam/shell/event_loop.hpp>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Null_Mutex.h>
#include <ace/Reactor.h>
#include <ace/Time_Policy.h>
#include <ace/Timer_Heap_T.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace skylarkseam {
namespace {

constexpr rlim_t most_reactor_descriptors = 2048; ///< numbers up to which ACE keeps a table; it watches three
constexpr duration longest_wait = seconds(1);

using ace_time = ACE_Time_Value_T<ACE_Delegating_Time_Policy>;

ACE_Time_Value to_ace(duration value) {
    const auto whole = std::chrono::duration_cast<seconds>(value);
    return ACE_Time_Value(static_cast<time_t>(whole.count()),
                          static_cast<suseconds_t>((value - whole).count()));
}

/// The size of the reactor's table: it does not open for more descriptors than the process may have.
std::size_t reactor_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return most_reactor_descriptors;
    }
    return static_cast<std::size_t>(std::min(limit.rlim_cur, most_reactor_descriptors));
}

/// Monotonic time that goes on while the machine is suspended, so that a deadline passes with the client's
/// own clock; a test can stop and move it.
class runtime_clock : public ACE_Dynamic_Time_Policy_Base {
public:
    [[nodiscard]] time_point now() const {
        if (paused_) {
            return paused_at_;
        }
        timespec since_boot{};
        ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point{std::chrono::duration_cast<duration>(seconds(since_boot.tv_sec) +
                                                               std::chrono::nanoseconds(since_boot.tv_nsec))};
    }

    void pause() {
        paused_at_ = now();
        paused_ = true;
    }

    void advance(duration step) { paused_at_ += step; }

protected:
    [[nodiscard]] ace_time gettimeofday() const override {
        return ace_time(to_ace(now().time_since_epoch()));
    }

private:
    bool paused_ = false;
    time_point paused_at_{};
};

using timer_heap = ACE_Timer_Heap_T<ACE_Event_Handler*, ACE_Event_Handler_Handle_Timeout_Upcall,
                                    ACE_Null_Mutex, ACE_Delegating_Time_Policy>;

/// One timer; the loop frees it after it has expired.
class timer_handler : public ACE_Event_Handler {
public:
    explicit timer_handler(std::function<void()> task)
        : task_(std::move(task)) {}

    int handle_timeout(const ACE_Time_Value&, const void*) override {
        on_expired();
        task_();
        return 0;
    }

    std::function<void()> on_expired;

private:
    std::function<void()> task_;
};

/// Tells the reactor of the descriptor set: the reactor itself takes one ready descriptor a wait and arms it
/// anew each time, the set takes all that are ready at once.
class descriptor_set_handler : public ACE_Event_Handler {
public:
    explicit descriptor_set_handler(descriptor_set& set)
        : set_(set) {}

    [[nodiscard]] ACE_HANDLE get_handle() const override { return set_.fd(); }

    int handle_input(ACE_HANDLE) override {
        set_.dispatch();
        return 0;
    }

    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

private:
    descriptor_set& set_;
};

} // namespace

struct event_loop::impl {
    runtime_clock clock;
    timer_heap timers;
    ACE_Dev_Poll_Reactor poll_reactor{reactor_descriptors(), true};
    ACE_Reactor reactor{&poll_reactor, false};
    descriptor_set descriptors;
    descriptor_set_handler descriptors_handler{descriptors};
    std::unordered_map<timer_id, std::unique_ptr<timer_handler>> timer_handlers;
    // Timers that were cancelled during a callback, perhaps their own; freed between callbacks.
    std::vector<std::unique_ptr<ACE_Event_Handler>> retired;
    std::vector<std::function<void()>> posted;
    bool stopping = false;
    int signal_fd = -1;
    std::function<void()> on_reload;
    std::function<void()> on_dump;

    impl() {
        if (!poll_reactor.initialized()) {
            throw std::runtime_error(std::string("the reactor does not open: ") + std::strerror(errno));
        }
        timers.set_time_policy(ACE_Delegating_Time_Policy(&clock));
        reactor.timer_queue(&timers);
        if (reactor.register_handler(&descriptors_handler, ACE_Event_Handler::READ_MASK) != 0) {
            throw std::runtime_error("the reactor refused the descriptor set");
        }
    }

    ~impl() {
        // The timer queue calls back each handler that is still in it when the reactor goes.
        for (auto& [id, it] : timer_handlers) {
            reactor.cancel_timer(id, nullptr, 1);
        }
        reactor.remove_handler(&descriptors_handler,
                               ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        if (signal_fd >= 0) {
            ::close(signal_fd);
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void run_posted() {
        // Tasks posted by these tasks wait for the next turn, so that descriptors get theirs.
        std::vector<std::function<void()>> tasks;
        tasks.swap(posted);
        for (auto& it : tasks) {
            it();
        }
        retired.clear();
    }

    void turn(duration longest) {
        run_posted();
        ACE_Time_Value wait = to_ace(posted.empty() ? longest : duration::zero());
        reactor.handle_events(wait);
        run_posted();
    }
};

event_loop::event_loop()
    : impl_(std::make_unique<impl>()) {}

event_loop::~event_loop() = default;

time_point event_loop::now() const {
    return impl_->clock.now();
}

timer_id event_loop::run_at(time_point when, std::function<void()> task) {
    auto handler = std::make_unique<timer_handler>(std::move(task));
    auto* const raw = handler.get();
    const auto delay = std::max(duration::zero(), when - now());
    const timer_id id = impl_->reactor.schedule_timer(raw, nullptr, to_ace(delay));
    if (id < 0) {
        throw std::runtime_error("the timer queue refused a timer");
    }
    raw->on_expired = [this, id] {
        const auto it = impl_->timer_handlers.find(id);
        if (it != impl_->timer_handlers.end()) {
            impl_->retired.push_back(std::move(it->second));
            impl_->timer_handlers.erase(it);
        }
    };
    impl_->timer_handlers[id] = std::move(handler);
    return id;
}

void event_loop::cancel(timer_id id) {
    const auto it = impl_->timer_handlers.find(id);
    if (it == impl_->timer_handlers.end()) {
        return;
    }
    impl_->reactor.cancel_timer(id, nullptr, 1);
    impl_->retired.push_back(std::move(it->second));
    impl_->timer_handlers.erase(it);
}

void event_loop::post(std::function<void()> task) {
    impl_->posted.push_back(std::move(task));
}

void event_loop::watch(int fd, readiness interest, std::function<void(readiness)> on_ready) {
    impl_->descriptors.watch(fd, interest, std::move(on_ready));
}

void event_loop::unwatch(int fd) {
    impl_->descriptors.unwatch(fd);
}

void event_loop::on_operator_signals(std::function<void()> on_reload, std::function<void()> on_dump) {
    impl_->on_reload = std::move(on_reload);
    impl_->on_dump = std::move(on_dump);
}

void event_loop::on_termination(std::function<void()> on_signal) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (impl_->on_reload) {
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGUSR1);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    impl_->signal_fd = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (impl_->signal_fd < 0) {
        throw std::runtime_error("signalfd failed");
    }
    const int fd = impl_->signal_fd;
    watch(fd, {true, false}, [this, fd, on_signal = std::move(on_signal)](readiness) {
        signalfd_siginfo info{};
        while (::read(fd, &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            switch (info.ssi_signo) {
            case SIGHUP:
                impl_->on_reload();
                break;
            case SIGUSR1:
                impl_->on_dump();
                break;
            default:
                on_signal();
            }
        }
    });
}

void event_loop::run() {
    impl_->stopping = false;
    while (!impl_->stopping) {
        impl_->turn(longest_wait);
    }
}

void event_loop::stop() {
    impl_->stopping = true;
}

void event_loop::run_once(duration longest) {
    impl_->turn(longest);
}

void event_loop::pause_clock() {
    impl_->clock.pause();
}

void event_loop::advance(duration step) {
    impl_->clock.advance(step);
}

} // namespace skylarkseam
