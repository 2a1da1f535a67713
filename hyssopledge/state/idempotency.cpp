#include "hyssopledge/state/idempotency.h"

#include <boost/outcome/success_failure.hpp>
#include <utility>

namespace hyssopledge::state {

namespace {

std::size_t sizeOf(const stored_response &Response) {
  return Response.Body.size() + Response.ContentType.size();
}

} // namespace

idempotency_table::idempotency_table(std::size_t MaxKeys, std::size_t MaxBytes)
    : MaxKeys(MaxKeys), MaxBytes(MaxBytes) {}

result<key_lookup> idempotency_table::begin(const std::string &Key,
                                            std::uint64_t Fingerprint,
                                            time_point Now) {
  auto Found = Entries.find(Key);
  if (Found != Entries.end() && Found->second.State != key_state::InProgress &&
      Now - Found->second.ChangedAt >= RetentionPeriod) {
    expire(Now);
    Found = Entries.end();
  }
  if (Found != Entries.end()) {
    const entry &Entry = Found->second;
    if (Entry.Fingerprint != Fingerprint)
      return failure(errc::Conflict,
                     "the idempotency key was used with a different request");
    return key_lookup{Entry.State, Entry.Response};
  }
  if (Entries.size() >= MaxKeys)
    expire(Now);
  if (Entries.size() >= MaxKeys)
    return failure(errc::Overloaded, "the table of idempotency keys is full");
  Entries.emplace(Key, entry{key_state::InProgress, Fingerprint, Now, nullptr});
  return key_lookup{key_state::New, nullptr};
}

void idempotency_table::complete(const std::string &Key,
                                 stored_response Response, time_point Now) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.State == key_state::Done)
    return;
  entry &Entry = Found->second;
  Entry.ChangedAt = Now;
  const std::size_t Size = sizeOf(Response);
  if (Size > MaxBytes) {
    Entry.State = key_state::Unknown;
    return;
  }
  Entry.State = key_state::Done;
  Entry.Response = std::make_shared<const stored_response>(std::move(Response));
  Bytes += Size;
  ResponsesByAge.push_back(Key);
  while (Bytes > MaxBytes) {
    entry &Oldest = Entries.at(ResponsesByAge.front());
    ResponsesByAge.pop_front();
    Bytes -= sizeOf(*Oldest.Response);
    Oldest.Response.reset();
    Oldest.State = key_state::Unknown;
  }
}

void idempotency_table::markUnknown(const std::string &Key, time_point Now) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.State != key_state::InProgress)
    return;
  Found->second.State = key_state::Unknown;
  Found->second.ChangedAt = Now;
}

result<void> idempotency_table::beginRepeated(const std::string &Key,
                                              std::uint64_t Fingerprint,
                                              time_point Now) {
  auto Found = begin(Key, Fingerprint, Now);
  if (Found.has_error())
    return Found.error();
  if (Found.value().State == key_state::New)
    markUnknown(Key, Now);
  return boost::outcome_v2::success();
}

void idempotency_table::release(const std::string &Key) {
  const auto Found = Entries.find(Key);
  if (Found != Entries.end() && Found->second.State == key_state::InProgress)
    Entries.erase(Found);
}

void idempotency_table::expire(time_point Now) {
  // Ordered by age, so the expired ones are at the front.
  while (!ResponsesByAge.empty()) {
    const auto Found = Entries.find(ResponsesByAge.front());
    if (Now - Found->second.ChangedAt < RetentionPeriod)
      break;
    Bytes -= sizeOf(*Found->second.Response);
    Entries.erase(Found);
    ResponsesByAge.pop_front();
  }
  std::erase_if(Entries, [&](const auto &Item) {
    return Item.second.State == key_state::Unknown &&
           Now - Item.second.ChangedAt >= RetentionPeriod;
  });
}

std::size_t idempotency_table::size() const { return Entries.size(); }

} // namespace hyssopledge::state
