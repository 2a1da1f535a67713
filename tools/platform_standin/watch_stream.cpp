#include "platform_standin/watch_stream.h"

#include <utility>

namespace hyssopledge::platform_standin {

void watch_stream::start() {
  SelfReference = shared_from_this();
  Service.addStream(SelfReference);
  StartRead(&Request);
}

etcdserverpb::WatchResponse watch_stream::response(std::int64_t Revision,
                                                   std::int64_t Id) const {
  etcdserverpb::WatchResponse Response;
  Response.mutable_header()->set_cluster_id(1);
  Response.mutable_header()->set_member_id(1);
  Response.mutable_header()->set_raft_term(1);
  Response.mutable_header()->set_revision(Revision);
  Response.set_watch_id(Id);
  return Response;
}

void watch_stream::OnReadDone(bool Ok) {
  if (!Ok)
    return finish(grpc::Status::OK);
  if (Request.has_create_request()) {
    if (const grpc::Status Status = Service.admit(call_kind::Watch);
        !Status.ok())
      return finish(Status);
    create(Request.create_request());
  } else if (Request.has_cancel_request()) {
    const std::int64_t Id = Request.cancel_request().watch_id();
    Service.withStore([&](const mvcc_store &Store) {
      Watches.erase(Id);
      etcdserverpb::WatchResponse Response = response(Store.revision(), Id);
      Response.set_canceled(true);
      send(std::move(Response));
      return true;
    });
  } else {
    Service.withStore([&](const mvcc_store &Store) {
      send(response(Store.revision(), -1));
      return true;
    });
  }
  StartRead(&Request);
}

void watch_stream::create(const etcdserverpb::WatchCreateRequest &Create) {
  Service.withStore([&](const mvcc_store &Store) {
    const std::int64_t Id =
        Create.watch_id() != 0 ? Create.watch_id() : LastId++;
    etcdserverpb::WatchResponse Response = response(Store.revision(), Id);
    Response.set_created(true);
    send(Response);
    const std::int64_t From = Create.start_revision() > 0
                                  ? Create.start_revision()
                                  : Store.revision() + 1;
    Watches[Id] = {Create.key(), Create.range_end(), From};
    return true;
  });
}

void watch_stream::sendEvents(const mvcc_store &Store,
                              std::chrono::milliseconds Delay) {
  for (auto It = Watches.begin(); It != Watches.end();) {
    watch &Watch = It->second;
    if (Watch.NextRevision > Store.revision()) {
      ++It;
      continue;
    }
    const auto Events =
        Store.eventsFrom(Watch.Key, Watch.RangeEnd, Watch.NextRevision);
    etcdserverpb::WatchResponse Response =
        response(Store.revision(), It->first);
    if (!Events) {
      Response.set_canceled(true);
      Response.set_compact_revision(Store.compactedRevision());
      Response.set_cancel_reason(
          "etcdserver: mvcc: required revision has been compacted");
      It = Watches.erase(It);
    } else {
      Watch.NextRevision = Store.revision() + 1;
      for (const mvccpb::Event &Event : *Events)
        *Response.add_events() = Event;
      ++It;
      if (Events->empty())
        continue;
    }
    if (Delay.count() == 0)
      send(std::move(Response));
    else
      Service.taskScheduler().runAfter(
          Delay, [Stream = shared_from_this(), Response = std::move(Response)] {
            Stream->send(Response);
          });
  }
}

void watch_stream::send(etcdserverpb::WatchResponse Response) {
  const std::lock_guard Lock(Mutex);
  if (Finished)
    return;
  Queue.push_back(std::move(Response));
  if (!WritePending) {
    WritePending = true;
    StartWrite(&Queue.front());
  }
}

void watch_stream::OnWriteDone(bool Ok) {
  const std::lock_guard Lock(Mutex);
  Queue.pop_front();
  WritePending = Ok && !Finished && !Queue.empty();
  if (WritePending)
    StartWrite(&Queue.front());
}

void watch_stream::finish(const grpc::Status &Status) {
  const std::lock_guard Lock(Mutex);
  if (!std::exchange(Finished, true))
    Finish(Status);
}

std::size_t watch_stream::watchCount() { return Watches.size(); }

void watch_stream::OnDone() {
  Service.removeStream(SelfReference);
  SelfReference.reset();
}

} // namespace hyssopledge::platform_standin
