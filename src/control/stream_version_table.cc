#include "briarwood/control/stream_version_table.h"

#include <algorithm>

namespace briarwood::control {

void StreamVersionTable::Add(const common::Digest128& key, const Origin& origin,
                             std::uint64_t expires_unix_ms) {
  if (streams_.size() >= max_streams_ || streams_.contains(key)) return;
  const auto counted = origins_.try_emplace(origin, 0).first;
  ++counted->second;
  streams_.emplace(key, Stream{.origin = counted, .expires_unix_ms = expires_unix_ms});
  expiries_.emplace(expires_unix_ms, key);
}

void StreamVersionTable::Record(const schema::StreamStarts& starts, std::uint64_t now_unix_ms) {
  const Origin origin(starts.service(), starts.software_version());
  const int streams = std::min(starts.keys_size() / 2, starts.lifetimes_ms_size());
  for (int i = 0; i < streams; ++i) {
    const common::Digest128 key{.high = starts.keys(2 * i), .low = starts.keys(2 * i + 1)};
    Add(key, origin, now_unix_ms + std::min(starts.lifetimes_ms(i), kMaxLifetimeMs));
  }
}

schema::StreamLookupResult StreamVersionTable::LookUp(const schema::StreamLookup& lookup) const {
  schema::StreamLookupResult result;
  const auto found = streams_.find({.high = lookup.key_high(), .low = lookup.key_low()});
  if (found != streams_.end()) {
    result.set_known(true);
    result.set_service(found->second.origin->first.first);
    result.set_software_version(found->second.origin->first.second);
    return result;
  }
  for (auto origin = origins_.lower_bound({lookup.service(), {}});
       origin != origins_.end() && origin->first.first == lookup.service(); ++origin) {
    result.add_recorded_versions(origin->first.second);
  }
  return result;
}

void StreamVersionTable::Expire(std::uint64_t now_unix_ms) {
  while (!expiries_.empty() && expiries_.begin()->first <= now_unix_ms) {
    const auto found = streams_.find(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
    const auto origin = found->second.origin;
    streams_.erase(found);
    if (--origin->second == 0) origins_.erase(origin);
  }
}

schema::StreamVersionTableState StreamVersionTable::Save() const {
  schema::StreamVersionTableState state;
  std::map<Origin, std::uint32_t> positions;
  for (const auto& [origin, count] : origins_) {
    positions.emplace(origin, static_cast<std::uint32_t>(state.origins_size()));
    schema::StreamOrigin& saved = *state.add_origins();
    saved.set_service(origin.first);
    saved.set_software_version(origin.second);
  }
  for (const auto& [key, stream] : streams_) {
    schema::StreamRecord& saved = *state.add_streams();
    saved.set_key_high(key.high);
    saved.set_key_low(key.low);
    saved.set_origin(positions.at(stream.origin->first));
    saved.set_expires_unix_ms(stream.expires_unix_ms);
  }
  return state;
}

void StreamVersionTable::Restore(const schema::StreamVersionTableState& state) {
  streams_.clear();
  expiries_.clear();
  origins_.clear();
  for (const schema::StreamRecord& saved : state.streams()) {
    if (saved.origin() >= static_cast<std::uint32_t>(state.origins_size())) continue;
    const schema::StreamOrigin& origin = state.origins(static_cast<int>(saved.origin()));
    Add({.high = saved.key_high(), .low = saved.key_low()},
        {origin.service(), origin.software_version()}, saved.expires_unix_ms());
  }
}

}  // namespace briarwood::control
