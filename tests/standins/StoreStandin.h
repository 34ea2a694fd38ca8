#pragma once

#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreMessages.h"

#include <map>

namespace rattanroad::standins {

/** The platform's key-value store in one process: the part of etcd's v3 JSON gateway that the daemon uses, with real
    compare-and-swap, revisions, leases and watches, and faults on demand.

    Faults are set at the control port: POST /testing/mode {"down","slow_ms","stale_reads","lose_next_reply"}; the calls
    are counted: GET /testing/counts.
*/
class StoreStandin {
public:
    struct Mode {
        /** New connections are refused and requests on open ones are closed without effect. */
        bool isDown { false };
        /** Added to each answer. */
        std::chrono::milliseconds delay { 0 };
        /** Reads see the state at the moment this was switched on. */
        bool hasStaleReads { false };
        /** The next write takes effect and its connection closes without an answer. */
        bool losesNextReply { false };
    };

    explicit StoreStandin(EventLoop& loop);

    /** Listens on 127.0.0.1 and returns whether both ports could be bound; 0 takes any free one. */
    bool open(int port, int controlPort);
    int port() const { return m_port; }
    void setMode(const Mode& mode);
    const Mode& mode() const { return m_mode; }
    /** Number of calls per path. */
    const std::map<std::string, std::uint64_t>& calls() const { return m_calls; }
    /** Returns the value of @p key; empty when there is none. */
    std::string value(const std::string& key) const;

private:
    struct Stored {
        platform::StoreEntry entry;
        std::uint64_t version { 0 };
        std::uint64_t lease { 0 };
    };
    using Data = std::map<std::string, Stored>;
    struct Event {
        std::uint64_t revision { 0 };
        bool isDeleted { false };
        Stored stored;
    };
    struct Watcher {
        std::string key;
        std::string rangeEnd;
        HttpResponder responder;
    };

    void handle(HttpRequest&& request, const HttpResponder& responder);
    void handleControl(const HttpRequest& request, const HttpResponder& responder);
    void answer(const HttpRequest& request, const HttpResponder& responder);
    nlohmann::json range(const nlohmann::json& request) const;
    nlohmann::json transaction(const nlohmann::json& request);
    bool holds(const nlohmann::json& compare) const;
    void put(const nlohmann::json& request);
    void erase(const std::string& key);
    nlohmann::json grantLease(const nlohmann::json& request);
    void expireLease(std::uint64_t lease);
    void startWatch(const nlohmann::json& request, const HttpResponder& responder);
    void publish(Event event);
    nlohmann::json header() const;
    static nlohmann::json toJson(const Stored& stored);
    static nlohmann::json toJson(const Event& event);
    static bool isInRange(const std::string& key, const std::string& begin, const std::string& end);

    EventLoop& m_loop;
    Mode m_mode;
    int m_port { 0 };
    int m_controlPort { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_lastLease { 0 };
    Data m_data;
    Data m_staleData;
    std::vector<Event> m_history;
    std::vector<Watcher> m_watchers;
    std::map<std::string, std::uint64_t> m_calls;
    HttpServer m_server;
};

}
