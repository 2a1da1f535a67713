/// \file
/// Keys and values through which operators publish documents and rollout orders
/// on a platform and read their state. Each supported platform implements this
/// interface.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/state/route_table.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopledge::coordination {

struct rollout_order {
  std::string Service;
  std::string ToVersion;
  std::chrono::milliseconds Duration{}; // from the order to its deadline
};

class operator_dialect {
public:
  virtual ~operator_dialect() = default;

  //--- Keys -------------------------------------------------------------------
  virtual std::string inputPrefix() const = 0; // of all keys of operators
  virtual std::string documentKey() const = 0;
  virtual bool isOrderKey(std::string_view Key) const = 0;
  /// The data centre to whose upstreams nothing may be sent while the key
  /// exists; empty: the key is not that of an evacuation.
  virtual std::string evacuatedDataCentre(std::string_view Key) const = 0;
  virtual std::string statusPrefix() const = 0;
  virtual std::string statusKey(const std::string &Service) const = 0;
  virtual std::string membersPrefix() const = 0; // records of daemons

  //--- Values -----------------------------------------------------------------
  /// Fails with InvalidDocument, naming the location and the expected value.
  virtual state::result<std::shared_ptr<const state::route_table>>
  parseDocument(std::string_view Text) const = 0;
  virtual state::result<rollout_order>
  parseOrder(std::string_view Text) const = 0;
  virtual std::string formatStatus(const rollout_record &Record) const = 0;
  /// Sets Service, ToVersion and State; the other fields keep their defaults.
  virtual state::result<rollout_record>
  parseStatus(std::string_view Key, std::string_view Text) const = 0;
};

} // namespace hyssopledge::coordination
