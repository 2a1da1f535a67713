#include "hyssopledge/state/admission.h"

#include <algorithm>

namespace hyssopledge::state {

namespace {

constexpr double RunTimeWeight = 0.1; // of one sample in MeanRunMs

boot_clock::duration toDuration(double Ms) {
  return std::chrono::duration_cast<boot_clock::duration>(
      std::chrono::duration<double, std::milli>(Ms));
}

} // namespace

admission::admission(admission_limits Limits) : Limits(Limits) {}

void admission::announce(const upstream_announcement &Announcement,
                         time_point Now) {
  this->Announcement = Announcement;
  AnnouncedAt = Now;
}

std::optional<upstream_announcement> admission::serving(time_point Now) const {
  if (!Announcement || Announcement->Draining ||
      Now - AnnouncedAt >= AnnouncementTtl)
    return std::nullopt;
  return Announcement;
}

void admission::setLimits(admission_limits Limits) { this->Limits = Limits; }

void admission::startDrain() { Draining = true; }

bool admission::drained() const { return Running.empty() && Queue.empty(); }

std::optional<failure> admission::refusal(const std::string &Service,
                                          const std::string &Version,
                                          time_point Now) const {
  if (!Announcement || Now - AnnouncedAt >= AnnouncementTtl)
    return failure(errc::NoTarget, "no upstream has announced itself");
  if (Announcement->Draining)
    return failure(errc::Draining, "the upstream is leaving");
  if (Announcement->Service != Service || Announcement->Version != Version)
    return failure(errc::NoTarget, "the upstream is " + Announcement->Service +
                                       " " + Announcement->Version + ", not " +
                                       Service + " " + Version);
  return std::nullopt;
}

result<admission_action> admission::admit(ticket Ticket,
                                          const std::string &Service,
                                          const std::string &Version,
                                          time_point Deadline, time_point Now) {
  if (Draining)
    return failure(errc::Draining, "this daemon is leaving");
  if (auto Refusal = refusal(Service, Version, Now))
    return *Refusal;
  if (Now >= Deadline)
    return failure(errc::Timeout, "the deadline has passed");
  if (Queue.empty() && Running.size() < slots()) {
    Running.push_back(Ticket);
    return admission_action::Run;
  }
  if (Queue.size() >= Limits.QueueLength)
    return failure(errc::Overloaded, "the queue is full");
  // Expected wait: each round of all slots takes one mean run time. The last
  // round is the run of the request itself, which must end before the deadline.
  const double Rounds =
      static_cast<double>(Queue.size() + 1) / std::max(1U, slots()) + 1;
  if (Now + toDuration(Rounds * MeanRunMs) > Deadline)
    return failure(errc::Overloaded, "no slot before the deadline");
  Queue.push_back({Ticket, Service, Version, Deadline});
  return admission_action::Queued;
}

void admission::dispatchQueued(time_point Now,
                               std::vector<admission_release> &Out) {
  while (!Queue.empty() && Running.size() < slots()) {
    queued_request Queued = std::move(Queue.front());
    Queue.pop_front();
    auto Refusal = refusal(Queued.Service, Queued.Version, Now);
    // A request that can't finish before its deadline would waste a slot. When
    // all slots are free it runs anyway, or a mean that is too high would
    // refuse every request and never be corrected.
    const auto RunEstimate =
        Running.empty() ? boot_clock::duration(0) : toDuration(MeanRunMs);
    if (!Refusal &&
        (Now >= Queued.Deadline || Now + RunEstimate > Queued.Deadline))
      Refusal = failure(errc::Timeout, "no time left to run");
    if (!Refusal)
      Running.push_back(Queued.Ticket);
    Out.push_back({Queued.Ticket, std::move(Refusal)});
  }
}

std::vector<admission_release>
admission::finish(ticket Ticket, milliseconds RunTime, time_point Now) {
  std::vector<admission_release> Out;
  const auto Found = std::find(Running.begin(), Running.end(), Ticket);
  if (Found == Running.end())
    return Out;
  Running.erase(Found);
  const auto Sample = static_cast<double>(RunTime.count());
  MeanRunMs = MeanRunMs == 0 ? Sample
                             : MeanRunMs + RunTimeWeight * (Sample - MeanRunMs);
  dispatchQueued(Now, Out);
  return Out;
}

void admission::cancel(ticket Ticket) {
  std::erase_if(Queue, [&](const queued_request &Queued) {
    return Queued.Ticket == Ticket;
  });
}

std::vector<admission_release> admission::expire(time_point Now) {
  std::vector<admission_release> Out;
  std::erase_if(Queue, [&](const queued_request &Queued) {
    auto Refusal = refusal(Queued.Service, Queued.Version, Now);
    if (!Refusal && Now >= Queued.Deadline)
      Refusal = failure(errc::Timeout, "the deadline has passed in the queue");
    if (!Refusal)
      return false;
    Out.push_back({Queued.Ticket, std::move(Refusal)});
    return true;
  });
  dispatchQueued(Now, Out);
  return Out;
}

std::uint32_t admission::running() const {
  return static_cast<std::uint32_t>(Running.size());
}

std::uint32_t admission::queued() const {
  return static_cast<std::uint32_t>(Queue.size());
}

std::uint32_t admission::slots() const {
  return Announcement && Announcement->Slots > 0
             ? std::min(Limits.Slots, Announcement->Slots)
             : Limits.Slots;
}

} // namespace hyssopledge::state
