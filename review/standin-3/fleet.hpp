/// \file
/// A small deployment: the store, three machines with their daemons, and a
/// target beside each.
#pragma once

#include "standin.hpp"

namespace review {

//--- Bounds of the settings ---------------------------------------------------
constexpr double DrainMs = 2000;
constexpr double ContactMs = 3000;

inline bool troubleWanted() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

struct fleet {
  std::string Block = freeBlock();
  store Store{Block + "1:8309"};
  std::vector<std::unique_ptr<machine>> Machines;
  run_log Log;
  std::vector<std::unique_ptr<target>> Targets;

  /// Starts a machine for each service and waits until all daemons are ready
  /// and know all targets.
  fleet(const std::string &Program, const std::string &Folder,
        const std::vector<std::string> &Services, const std::string &Config,
        double WorkMs, unsigned MaxDescriptors = 4100,
        double MaxLeaseMs = 600'000)
      : Program(Program), Folder(Folder), WorkMs(WorkMs),
        MaxDescriptors(MaxDescriptors) {
    Store.MaxLeaseMs = MaxLeaseMs;
    Store.put("op/config", Config);
    for (const std::string &Service : Services)
      add(Service);
    awaitReady();
  }

  /// Starts a further machine with its target.
  void add(const std::string &Service) {
    const std::size_t I = Machines.size();
    Machines.push_back(std::make_unique<machine>(
        machine_spec{"sidecar-" + std::to_string(I + 1),
                     "zone-" + std::string(1, static_cast<char>('a' + I % 3)),
                     Service, Block + std::to_string(I + 2), Store.address(),
                     MaxDescriptors},
        Program, Folder));
    Machines[I]->start();
    Targets.push_back(std::make_unique<target>(
        *Machines[I], "i-000" + std::to_string(I + 1), Log, WorkMs));
    Targets[I]->startBeats();
  }

  void awaitReady() {
    for (int I = 0; I < 150; ++I) {
      if (std::all_of(Machines.begin(), Machines.end(),
                      [](const auto &M) { return M->ready(); })) {
        sleepMs(ContactMs);
        return;
      }
      sleepMs(100);
    }
    cannotRun("the daemons do not become ready");
  }

private:
  std::string Program;
  std::string Folder;
  double WorkMs;
  unsigned MaxDescriptors;
};

/// How a request ended for its client.
struct outcome {
  int Status = 0;    // 0: the connection ended without a whole answer
  double SentAt = 0; // when its last byte was sent
  bool Kept = false; // the connection had carried an earlier request
};

/// Clients of one machine. Each keeps its connection for many requests and
/// sends one at a time.
class clients {
public:
  clients(std::string Address, unsigned Count, const std::string &Method,
          const std::string &Prefix, const std::string &IdPrefix,
          const std::string &Key = "none")
      : Address(std::move(Address)) {
    for (unsigned I = 0; I < Count; ++I)
      Threads.emplace_back([this, I, Method, Prefix, IdPrefix, Key] {
        sleepMs(25.0 * I); // out of step with the others
        std::unique_ptr<wire> Wire;
        while (Sending) {
          char Number[16];
          std::snprintf(Number, sizeof Number, "%06u", ++Next);
          const std::string Id = IdPrefix + Number;
          outcome Outcome;
          Outcome.Kept = Wire != nullptr;
          if (!Wire)
            if (const int Fd = connectTo(this->Address); Fd >= 0)
              Wire = std::make_unique<wire>(Fd);
          message Answer;
          if (Wire && Wire->send(request(Method, Prefix + Id,
                                         {{"Host", "shop.example"},
                                          {"Attempt-Id", Id},
                                          {"Deadline-Ms", "2000"},
                                          {"Key", Key}},
                                         Method == "POST" ? "blazer" : ""))) {
            Outcome.SentAt = nowMs();
            Answer = Wire->read(nowMs() + 2500);
          }
          Outcome.Status = Answer.Complete ? Answer.status() : 0;
          if (Outcome.Status == 0 || Answer.field("Connection") == "close")
            Wire.reset();
          {
            const std::lock_guard<std::mutex> Lock(Mutex);
            Outcomes[Id] = Outcome;
          }
          sleepMs(100);
        }
      });
  }
  ~clients() { stop(); }
  void stop() {
    Sending = false;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }
  /// Number of requests with this status.
  unsigned count(int Status) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    unsigned Count = 0;
    for (const auto &[Id, Outcome] : Outcomes)
      Count += Outcome.Status == Status ? 1 : 0;
    return Count;
  }
  unsigned count() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return static_cast<unsigned>(Outcomes.size());
  }
  outcome of(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Outcomes.find(Id);
    return Found == Outcomes.end() ? outcome{-1, 0, false} : Found->second;
  }

private:
  std::string Address;
  std::atomic<bool> Sending{true};
  std::atomic<unsigned> Next{0};
  std::mutex Mutex;
  std::map<std::string, outcome> Outcomes;
  std::vector<std::thread> Threads;
};

/// Requests of kept connections that reached a target and got no answer, of
/// those sent before a time. Records them.
inline unsigned countLost(run_log &Log, clients &Clients, double Until) {
  unsigned Lost = 0;
  for (const run_record &Run : Log.all()) {
    const outcome Outcome = Clients.of(Run.Id);
    if (Outcome.Status != 0 || !Outcome.Kept || Outcome.SentAt > Until)
      continue;
    ++Lost;
    RECORD(
        "%s, sent at %.1f ms on a kept connection, reached %s: closed without "
        "an answer",
        Run.Id.c_str(), Outcome.SentAt, Run.Target.c_str());
  }
  return Lost;
}

} // namespace review
