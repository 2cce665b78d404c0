// Follows the platform's store: sends the calls that the follower decides on, and hands on what it learns.
#pragma once

#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/platform_binding.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

namespace skylarkseam {

class store_runner {
public:
    /// Called with what one answer brought, never empty.
    using output_handler = std::function<void(std::vector<store_output> events)>;

    store_runner(event_loop& loop, const platform_binding& binding, std::string url, std::uint64_t seed,
                 const store_timing& timing, output_handler on_output);

    /// Sets what is read from the store. \param in_stead  another gateway should watch the store
    /// \param known  what is known of the store from elsewhere
    /// \param incarnation  the store's incarnation that `known` belongs to
    void set_scope(store_scope scope, bool in_stead, const store_revisions& known, std::uint64_t incarnation);

    [[nodiscard]] store_scope scope() const { return follower_.scope(); }
    [[nodiscard]] const store_follower& state() const { return follower_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void run();
    void send(const store_call& call);

    event_loop& loop_;
    const platform_binding& binding_;
    std::string url_;
    output_handler on_output_;
    http_client http_;
    store_follower follower_;
    wakeup_timer timer_;
    std::uint64_t calls_ = 0;
};

} // namespace skylarkseam
