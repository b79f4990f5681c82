#pragma once

// Stand-in of the platform's store: keyed topics with one partition, as PROTOCOL.md tells, and the
// drill of RULES-ADDED.md (the store comes back from a copy some seconds old).

#include <condition_variable>

#include "net.h"

namespace review {

class store
{
public:
    explicit store(record_file &log) : m_log(log)
    {
        serve(listenOn(m_port), [this](int fd) { handle(fd); });
    }
    int port() const { return m_port; }

    // False while the store is away: then nothing was done.
    bool put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isAway)
            return false;
        add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        if (topic == "keyed.op")
            m_log.line("store: record " + std::to_string(m_topics[topic].size() - 1) + " of "
                       + topic + ": " + key);
        return true;
    }

    // The store is away for `away` seconds and comes back from a copy `age` seconds old. What the
    // system wrote since is gone. What the operator and the servers wrote since is written again at
    // once, or, without `isWrittenAgain`, by the caller and with the servers' next entries.
    void drill(double away, double age, bool isWrittenAgain = true)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isAway = true;
            const auto copyAt = seconds() - age;
            for (auto &[name, topic] : m_topics) {
                std::vector<entry> lost;
                while (!topic.empty() && topic.back().at > copyAt) {
                    lost.insert(lost.begin(), topic.back());
                    topic.pop_back();
                }
                m_log.line("drill: topic " + name + " goes back by " + std::to_string(lost.size())
                           + " records to offset " + std::to_string(topic.size()));
                if (isWrittenAgain && (name == "keyed.op" || name == "keyed.servers")) {
                    for (auto &each : lost)
                        topic.push_back({each.bytes, seconds()});
                }
            }
            ++m_era;
        }
        m_changed.notify_all();
        pause(away);
        const std::lock_guard lock(m_mutex);
        m_isAway = false;
        m_log.line("drill: the store is back, Store-Era " + std::to_string(m_era));
    }

private:
    struct entry
    {
        std::string bytes;
        double at = 0;
    };

    void add(const std::string &topic, std::string bytes)
    {
        m_topics[topic].push_back({std::move(bytes), seconds()});
        m_changed.notify_all();
    }

    void handle(int fd)
    {
        message_reader reader(fd);
        message call;
        while (reader.read(call, false) && call.complete) {
            int status = 200;
            const auto body = answerTo(call, status);
            pause(0.004);
            std::string text
                = "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + std::to_string(m_era)
                  + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!sendAll(fd, text))
                return;
        }
    }

    std::string answerTo(const message &call, int &status)
    {
        std::unique_lock lock(m_mutex);
        if (m_isAway) {
            status = 503;
            return "";
        }
        const auto name = call.parameter("topic");
        if (call.path() == "/v1/log-append")
            return append(name, call, status);
        if (call.path() == "/v1/log-newest")
            return newest(name);
        if (call.path() == "/v1/log-read")
            return read(name, call, lock, status);
        status = 404;
        return "";
    }

    std::string append(const std::string &name, const message &call, int &status)
    {
        if (name == "keyed.op" || name == "keyed.servers") {
            status = 403;
            return "";
        }
        const auto end = m_topics[name].size();
        const auto at = call.parameter("at");
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
            status = 412;
            m_log.line("store: append to " + name + " at " + at + " gets 412, the end is "
                       + std::to_string(end));
            return "{\"end_offset\":" + std::to_string(end) + "}";
        }
        std::size_t from = 0;
        while (from + 4 <= call.body.size()) {
            std::size_t length = 0;
            for (int index = 0; index < 4; ++index)
                length = length << 8U | static_cast<unsigned char>(call.body[from + index]);
            add(name, call.body.substr(from + 4, length));
            m_log.line("store: record " + std::to_string(m_topics[name].size() - 1) + " of " + name
                       + ": " + m_topics[name].back().bytes.substr(1, 300));
            from += 4 + length;
        }
        return "{\"offset\":" + std::to_string(end)
               + ",\"end_offset\":" + std::to_string(m_topics[name].size()) + "}";
    }

    std::string newest(const std::string &name)
    {
        const auto &topic = m_topics[name];
        std::map<std::string, std::pair<std::string, std::size_t>> byKey;
        for (std::size_t at = 0; at < topic.size(); ++at) {
            const auto &bytes = topic[at].bytes;
            const auto length = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0]));
            if (bytes.size() > 1 + length)
                byKey[bytes.substr(1, length)] = {bytes.substr(1 + length), at};
            else
                byKey.erase(bytes.substr(1, length));
        }
        std::string rows;
        for (const auto &[key, value] : byKey) {
            rows += (rows.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                    + base64(value.first) + "\",\"offset\":" + std::to_string(value.second) + "}";
        }
        return "{\"entries\":[" + rows
               + "],\"more\":false,\"end_offset\":" + std::to_string(topic.size()) + "}";
    }

    std::string read(const std::string &name, const message &call,
                     std::unique_lock<std::mutex> &lock, int &status)
    {
        const auto from = std::strtoull(call.parameter("from").c_str(), nullptr, 10);
        const auto wait = std::atoi(call.parameter("wait_ms").c_str());
        const auto era = m_era;
        m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
            return m_topics[name].size() != from || m_era != era || m_isAway;
        });
        if (m_isAway) {
            status = 503;
            return "";
        }
        const auto &topic = m_topics[name];
        if (from > topic.size()) {
            status = 410;
            return "{\"first_offset\":0}";
        }
        std::string body = bigEndian(topic.size(), 8) + bigEndian(0, 8);
        for (auto at = from; at < topic.size(); ++at)
            body += bigEndian(topic[at].bytes.size(), 4) + topic[at].bytes;
        return body;
    }

    record_file &m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<entry>> m_topics;
    int m_port = 0;
    int m_era = 1;
    bool m_isAway = false;
};

} // namespace review
