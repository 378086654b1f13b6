#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins {

/// The records of the stand-in store, with the answers of the etcd v3 JSON gateway. Knows no
/// sockets; time is given in milliseconds.
class store_table {
public:
    /// One change, as a watch shows it.
    struct change {
        std::int64_t m_revision = 0;
        std::string m_key;
        boost::json::object m_event;
    };

    /// Answers a reading of one key or a range.
    boost::json::object range(const boost::json::object& request) const;

    /// Carries out a compare-and-swap transaction.
    boost::json::object transact(const boost::json::object& request);

    /// Writes one record without a comparison.
    boost::json::object put(const boost::json::object& request);

    /// Grants a lease.
    boost::json::object grant(const boost::json::object& request, std::int64_t now_ms);

    /// Extends a lease; a lapsed one has no lifetime.
    boost::json::object keep(const boost::json::object& request, std::int64_t now_ms);

    /// Ends a lease and its records.
    boost::json::object revoke(const boost::json::object& request);

    /// Ends every lease whose time is up.
    void expire(std::int64_t now_ms);

    /// Ends every lease at once.
    void expire_all();

    /// Changes from a revision on whose keys lie within a range, both base64.
    [[nodiscard]] std::vector<change> changes_since(std::int64_t revision, const std::string& key,
                                                    const std::string& range_end) const;

    /// Position of the history.
    [[nodiscard]] std::int64_t revision() const { return m_revision; }

private:
    struct record {
        std::string m_value;
        std::int64_t m_created = 0;
        std::int64_t m_modified = 0;
        std::int64_t m_version = 0;
        std::int64_t m_lease = 0;
    };

    struct lease {
        std::int64_t m_lifetime_ms = 0;
        std::int64_t m_until_ms = 0;
    };

    [[nodiscard]] boost::json::object header() const;
    void write(const boost::json::object& request);
    void remove(const std::string& key);
    void remove_lease(std::int64_t id);
    static boost::json::object describe(const std::string& key, const record& one, bool with_value);

    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1000;
    std::map<std::string, record> m_records; ///< Keys are base64 text decoded.
    std::map<std::int64_t, lease> m_leases;
    std::vector<change> m_changes;
};

} // namespace standins
