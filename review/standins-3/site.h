#pragma once

// A small deployment on loopback: settings of an edge as the platform renders them, a desired state
// and a server of an application service.

#include "store.h"

namespace review {

inline const std::string host = "shop.example";
inline const std::string key = "key-of-tenant-one";

struct edge_ports
{
    int callers = freePort();
    int readiness = freePort();
    int peers = freePort();
    int metrics = freePort();
};

inline std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// platform/edge.json.template with the bounds of kalkan-hat.
inline std::string edgeSettings(const std::string &name, const edge_ports &ports,
                                const std::string &seeds, int store, int cloud,
                                const std::string &more = "")
{
    return "{\"name\":\"" + name + "\",\"data_centre\":\"tuzla\",\"callers\":\""
           + address(ports.callers) + "\",\"readiness\":\"" + address(ports.readiness)
           + "\",\"peers\":\"" + address(ports.peers) + "\",\"seeds\":[" + seeds
           + "],\"metrics_port\":\"" + std::to_string(ports.metrics) + "\",\"log_service\":\""
           + address(store) + "\",\"duty_service\":[\"" + address(cloud)
           + "\"],\"repeat_ratio\":\"0.2\",\"repeat_slack\":\"58\",\"repeat_window_s\":\"10\","
             "\"cold_slack\":\"5\",\"stop_grace_s\":\"8\",\"usage_window_s\":\"5\","
             "\"usage_due_s\":\"10\",\"lease_term_ms\":\"3000\",\"exposure_share\":\"\","
             "\"exposure_slack\":\"\",\"rollback_ms\":\"\""
           + more + "}";
}

inline std::string routeText(const std::string &path, const std::string &type, int timeoutMs,
                             int goalMs, const std::string &service, const std::string &more)
{
    return "{\"name\":\"r" + path + "\",\"host\":\"" + host + "\",\"path_prefix\":\"/" + path
           + "/\",\"type\":\"" + type + "\",\"timeout_ms\":" + std::to_string(timeoutMs)
           + ",\"latency_goal_ms\":" + std::to_string(goalMs) + ",\"priority\":1,\"service\":\""
           + service + "\",\"public\":false,\"sticky\":false" + more + "}";
}

inline std::string configText(int version, const std::string &routes, const std::string &services)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":["
           + services
           + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
             "\"tenant-one\",\"api_keys\":[\""
           + key + "\"]}]}";
}

inline std::string serviceText(const std::string &name, int maxConnections)
{
    return "{\"name\":\"" + name
           + "\",\"health_path\":\"/healthz\",\"max_conns\":" + std::to_string(maxConnections)
           + ",\"protocol\":\"h1\",\"tls\":false,\"cold_period_s\":0.0,\"cold_per_s\":0.0}";
}

inline long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The entry of a server in the store.
inline std::string entryText(const std::string &service, int port, int slots, long long born,
                             int sequence)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address(port)
           + "\",\"zone\":\"tuzla\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
           + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[],"
             "\"born\":"
           + std::to_string(born) + ",\"sequence\":" + std::to_string(sequence) + "}";
}

// A server that keeps its entry in the store up to date.
class server_entry
{
public:
    server_entry(store &platform, std::string id, std::string service, int port, int slots)
    {
        std::thread([=, &platform, born = unixMs()] {
            for (int sequence = 1;; ++sequence) {
                platform.put("keyed.servers", id, entryText(service, port, slots, born, sequence));
                pause(1.2);
            }
        }).detach();
    }
};

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs, const std::string &body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
           + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string sealedAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
           + "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int statusOf(int port, const std::string &path)
{
    const int fd = connectTo(port);
    if (fd < 0)
        return 0;
    message answer;
    message_reader reader(fd);
    const bool isRead
        = sendAll(fd, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n") && reader.read(answer, true);
    close(fd);
    return isRead ? answer.status() : 0;
}

inline bool awaitReady(const edge_ports &ports, double limit)
{
    const auto until = seconds() + limit;
    while (seconds() < until) {
        if (statusOf(ports.readiness, "/v1/readyz") == 200)
            return true;
        pause(0.1);
    }
    return false;
}

} // namespace review
