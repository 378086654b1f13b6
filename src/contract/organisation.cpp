#include "contract/organisation.h"

#include <cstring>

#include "contract/digest.h"

namespace guavabay {

std::size_t organisation_directory::digest_hash::operator()(const key_digest& digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

void organisation_directory::add(organisation added)
{
    for (const key_digest& key : added.m_keys) {
        m_by_key.try_emplace(key, added.m_id);
    }
    organisation_id id = added.m_id;
    m_organisations.insert_or_assign(std::move(id), std::move(added));
}

const organisation* organisation_directory::find_by_key(std::string_view key) const
{
    const auto found = m_by_key.find(digest_of(key));
    if (found == m_by_key.end()) {
        return nullptr;
    }
    const auto owner = m_organisations.find(found->second);
    return owner == m_organisations.end() ? nullptr : &owner->second;
}

} // namespace guavabay
