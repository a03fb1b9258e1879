// Compares methods to update a replica that missed changes, over RPC on loopback: delta by index,
// per-row digests and whole snapshot. Measures bytes and time; docs/decisions/catch-up.md has
// results.
//
// Usage: catch_up [runs]

#include <google/protobuf/wrappers.pb.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "briarwood/common/base64.h"
#include "briarwood/common/digest.h"
#include "briarwood/common/random.h"
#include "briarwood/distribution/row_table.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"

namespace {

using briarwood::common::LogIndex;
using briarwood::distribution::Delta;
using briarwood::distribution::RowTable;
namespace common = briarwood::common;
namespace rpc = briarwood::rpc;
namespace schema = briarwood::schema;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kCustomers = 1300;
constexpr std::uint64_t kKeysPerCustomer = 4;
constexpr int kDefaultRuns = 21;

std::string CustomerId(std::uint64_t number) { return "customer-" + std::to_string(number); }

std::string CustomerValue(std::uint64_t number, std::uint64_t limit) {
  schema::Customer customer;
  customer.set_id(CustomerId(number));
  customer.set_weight(1);
  customer.set_requests_per_minute(limit);
  customer.set_tokens_per_minute(limit * 1000);
  customer.set_max_concurrency(64);
  customer.set_default_class("interactive");
  return customer.SerializeAsString();
}

void PutKey(RowTable& table, std::uint64_t customer, common::Random& random) {
  schema::KeyRow row;
  row.set_customer(CustomerId(customer));
  row.set_label("issued by the operator");
  table.Put(schema::ROW_KIND_KEY, common::ToHex(common::Sha256(std::to_string(random.Next()))),
            row.SerializeAsString(), LogIndex(table.index().value() + 1));
}

RowTable BaseTable(common::Random& random) {
  RowTable table;
  for (std::uint64_t customer = 0; customer < kCustomers; ++customer) {
    table.Put(schema::ROW_KIND_CUSTOMER, CustomerId(customer), CustomerValue(customer, 600),
              LogIndex(table.index().value() + 1));
    for (std::uint64_t key = 0; key < kKeysPerCustomer; ++key) PutKey(table, customer, random);
  }
  return table;
}

/// Applies a typical daily change: grants or withdraws a key, or changes a customer's limit.
void ApplyRandomChange(RowTable& table, std::vector<std::string>& keys, common::Random& random) {
  const LogIndex index(table.index().value() + 1);
  const std::uint64_t kind = random.Below(10);
  if (kind < 4) {
    PutKey(table, random.Below(kCustomers), random);
  } else if (kind < 8) {
    const std::size_t at = random.Below(keys.size());
    table.Erase(schema::ROW_KIND_KEY, keys[at], index);
    keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(at));
  } else {
    const std::uint64_t customer = random.Below(kCustomers);
    table.Put(schema::ROW_KIND_CUSTOMER, CustomerId(customer),
              CustomerValue(customer, random.Below(100'000)), index);
  }
}

/// Hashes of all live rows. They are computed outside the measured time, because a real
/// implementation would store them with the rows.
struct HashIndex {
  explicit HashIndex(const RowTable& table) {
    for (schema::Row& row : table.Snapshot().rows) {
      const std::uint64_t hash =
          common::Hash64(std::to_string(row.kind()) + row.id() + '\0' + row.value());
      hashes.append(reinterpret_cast<const char*>(&hash), sizeof hash);
      rows.emplace(hash, std::move(row));
    }
  }

  std::unordered_map<std::uint64_t, schema::Row> rows;
  std::string hashes;
};

std::vector<std::uint64_t> Unpack(const std::string& bytes) {
  std::vector<std::uint64_t> hashes(bytes.size() / sizeof(std::uint64_t));
  std::memcpy(hashes.data(), bytes.data(), hashes.size() * sizeof(std::uint64_t));
  return hashes;
}

schema::SyncResponse ToResponse(const Delta& delta) {
  schema::SyncResponse response;
  response.set_index(delta.index.value());
  response.set_full(delta.full);
  for (const schema::Row& row : delta.rows) *response.add_rows() = row;
  return response;
}

Delta ToDelta(const schema::SyncResponse& response) {
  return {.index = LogIndex(response.index()),
          .full = response.full(),
          .rows = {response.rows().begin(), response.rows().end()}};
}

/// Parent that supports the three methods.
class Parent {
 public:
  Parent(const RowTable& table, const HashIndex& index) : table_(table), index_(index) {
    server_.Handle<schema::SyncRequest, schema::SyncResponse>(
        "Sync", [this](const schema::SyncRequest& request) {
          return ToResponse(table_.DeltaSince(LogIndex(request.since_index()), {}));
        });
    server_.Handle<google::protobuf::BytesValue, google::protobuf::BytesValue>(
        "Digests", [this](const google::protobuf::BytesValue&) {
          google::protobuf::BytesValue hashes;
          hashes.set_value(index_.hashes);
          return hashes;
        });
    server_.Handle<google::protobuf::BytesValue, schema::SyncResponse>(
        "Rows", [this](const google::protobuf::BytesValue& requested) {
          schema::SyncResponse response;
          response.set_index(table_.index().value());
          for (const std::uint64_t hash : Unpack(requested.value())) {
            *response.add_rows() = index_.rows.at(hash);
          }
          return response;
        });
    const auto port = server_.Start({.listen = "127.0.0.1:0", .threads = 1});
    if (!port.ok()) std::abort();
    address_ = "127.0.0.1:" + std::to_string(port.value());
  }

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  const RowTable& table_;
  const HashIndex& index_;
  rpc::Server server_;
  std::string address_;
};

/// Child that counts the payload bytes of both directions in their base64 encoding, as on the wire.
class Child {
 public:
  Child(const std::string& address, const RowTable& table, const HashIndex& index)
      : client_({.address = address, .timeout = std::chrono::seconds(30)}),
        table_(table),
        index_(index) {
    Call<schema::SyncResponse>("Sync", SinceOwnIndex());  // opens the connection
    bytes_ = 0;
  }

  void CatchUpByDelta() {
    table_.Merge(ToDelta(Call<schema::SyncResponse>("Sync", SinceOwnIndex())));
  }

  void CatchUpBySnapshot() {
    table_.Merge(ToDelta(Call<schema::SyncResponse>("Sync", schema::SyncRequest())));
  }

  void CatchUpByDigests() {
    const auto hashes =
        Call<google::protobuf::BytesValue>("Digests", google::protobuf::BytesValue());
    std::unordered_set<std::uint64_t> present;
    google::protobuf::BytesValue requested;
    for (const std::uint64_t hash : Unpack(hashes.value())) {
      present.insert(hash);
      if (index_.rows.contains(hash)) continue;
      requested.mutable_value()->append(reinterpret_cast<const char*>(&hash), sizeof hash);
    }
    Delta delta = ToDelta(Call<schema::SyncResponse>("Rows", requested));
    std::unordered_set<std::string> replaced;
    for (const schema::Row& row : delta.rows) replaced.insert(row.id());
    for (const auto& [hash, row] : index_.rows) {
      if (present.contains(hash) || replaced.contains(row.id())) continue;
      schema::Row& deleted = delta.rows.emplace_back(row);
      deleted.set_deleted(true);
      deleted.set_modified_index(delta.index.value());
    }
    table_.Merge(delta);
  }

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] const RowTable& table() const { return table_; }

 private:
  [[nodiscard]] schema::SyncRequest SinceOwnIndex() const {
    schema::SyncRequest request;
    request.set_since_index(table_.index().value());
    return request;
  }

  template <typename Response, typename Request>
  Response Call(const std::string& method, const Request& request) {
    Response response = client_.Call<Response>(method, request);
    bytes_ += Base64Size(request.ByteSizeLong()) + Base64Size(response.ByteSizeLong());
    return response;
  }

  static std::size_t Base64Size(std::size_t bytes) { return (bytes + 2) / 3 * 4; }

  rpc::Client client_;
  RowTable table_;
  const HashIndex& index_;
  std::size_t bytes_ = 0;
};

bool SameRows(const RowTable& left, const RowTable& right) {
  const auto rows = [](const RowTable& table) {
    std::vector<std::string> texts;
    for (const schema::Row& row : table.Snapshot().rows) {
      texts.push_back(std::to_string(row.kind()) + row.id() + '\0' + row.value());
    }
    return texts;
  };
  return rows(left) == rows(right);
}

void Measure(const char* name, int missed, int runs, const RowTable& old_table,
             const HashIndex& old_index, const Parent& parent, const RowTable& new_table,
             const std::function<void(Child&)>& catch_up) {
  std::vector<double> durations_ms;
  std::size_t bytes = 0;
  for (int run = 0; run < runs; ++run) {
    Child child(parent.address(), old_table, old_index);
    const auto start = Clock::now();
    catch_up(child);
    durations_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    bytes = child.bytes();
    if (!SameRows(child.table(), new_table)) {
      std::fprintf(stderr, "%s: the replica differs from the parent\n", name);
      std::exit(1);
    }
  }
  std::sort(durations_ms.begin(), durations_ms.end());
  std::printf("| %d | %s | %zu | %.2f | %.2f |\n", missed, name, bytes,
              durations_ms[durations_ms.size() / 2], durations_ms.back());
}

void MeasureMissed(int missed, int runs) {
  common::Random random(static_cast<std::uint64_t>(missed));
  const RowTable old_table = BaseTable(random);
  RowTable new_table = old_table;
  std::vector<std::string> keys;
  new_table.ForEach(schema::ROW_KIND_KEY,
                    [&](const schema::Row& row) { keys.push_back(row.id()); });
  for (int i = 0; i < missed; ++i) ApplyRandomChange(new_table, keys, random);
  const HashIndex old_index(old_table);
  const HashIndex new_index(new_table);
  const Parent parent(new_table, new_index);
  const auto measure = [&](const char* name, const std::function<void(Child&)>& catch_up) {
    Measure(name, missed, runs, old_table, old_index, parent, new_table, catch_up);
  };
  measure("delta by index", [](Child& child) { child.CatchUpByDelta(); });
  measure("row digests", [](Child& child) { child.CatchUpByDigests(); });
  measure("whole snapshot", [](Child& child) { child.CatchUpBySnapshot(); });
}

}  // namespace

int main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : kDefaultRuns;
  if (runs < 1) {
    std::fprintf(stderr, "usage: catch_up [runs]\n");
    return 2;
  }
  std::printf("| missed changes | method | payload bytes | median ms | maximum ms |\n");
  std::printf("|---|---|---|---|---|\n");
  for (const int missed : {10, 300, 6100}) MeasureMissed(missed, runs);
  return 0;
}
