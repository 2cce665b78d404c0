// Keeps the requests that crash searchers in the platform's store: sends the calls that suspect_store decides
// on, and hands on what it learns.
#pragma once

#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/platform_binding.hpp>
#include <skylarkseam/shell/suspect_runner.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

namespace skylarkseam {

class suspect_store_runner {
public:
    suspect_store_runner(event_loop& loop, const platform_binding& binding, std::string url,
                         std::uint64_t seed, suspect_source source);

    void set_duty(store_duty duty);
    void note_restored();
    /// \param found_here  whether this gateway found it out itself
    void note_suspect(const std::string& fingerprint, bool found_here);
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void run();
    void send(const suspect_store_call& call);

    event_loop& loop_;
    const platform_binding& binding_;
    std::string url_;
    suspect_source source_;
    http_client http_;
    suspect_store store_;
    store_duty duty_;
    wakeup_timer timer_;
    std::uint64_t calls_ = 0;
};

} // namespace skylarkseam
