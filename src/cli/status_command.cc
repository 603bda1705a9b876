#include "cli/status_command.h"

#include <algorithm>
#include <iostream>

#include "cli/exit_code.h"
#include "cli/fleet_client.h"
#include "cli/operator_options.h"
#include "cli/operator_output.h"
#include "cli/operator_session.h"

namespace fireflyrun::cli {
namespace {

constexpr OperatorUsage kUsage{
    .synopsis = "status",
    .description = "Prints the zones, their nodes, and the record revision in force in each zone.",
    .needs_store = false};

records::BookRevision NewestRevision(const FleetReport& report) {
  records::BookRevision newest;
  for (const ZoneReport& zone : report) {
    if (!zone.revision_counts.empty()) {
      newest = std::max(newest, zone.revision_counts.rbegin()->first);
    }
  }
  return newest;
}

void PrintRecords(const store::RecordListing& read) {
  const auto& entries = read.transfer.entries;
  const auto is_retired = [](const records::RecordEntry& entry) { return entry.retired; };
  const auto retired = std::count_if(entries.begin(), entries.end(), is_retired);
  std::cout << "Store: revision " << records::FormatRevision(read.transfer.to_revision) << ", "
            << static_cast<std::ptrdiff_t>(entries.size()) - retired << " records, " << retired
            << " retired\n";
}

}  // namespace

int RunStatus(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  if (options->store_endpoints.empty() && options->admin_addresses.empty()) {
    std::cerr << "--store: is missing; allowed is --store or --admin\n";
    return kExitWrongUsage;
  }
  OperatorSession session(*options);
  records::BookRevision store_revision;
  if (!options->store_endpoints.empty()) {
    const auto read = session.Read();
    if (read) {
      PrintRecords(*read);
      store_revision = read->transfer.to_revision;
    } else {
      ReportStoreError("The store's records could not be read", read.error());
    }
  }
  const auto addresses = session.AdminAddresses();
  if (!addresses)
    return ReportStoreError("The roster of nodes could not be read", addresses.error());
  const auto report = FleetClient(*addresses).Fetch();
  if (!report) {
    std::cerr << "No node reported the state of the fleet: " << report.error() << "\n";
    return kExitFailed;
  }
  const records::BookRevision newest = std::max(NewestRevision(*report), store_revision);
  std::cout << "Newest revision: " << records::FormatRevision(newest) << "\n";
  PrintFleetReport(std::cout, *report, newest);
  return kExitDone;
}

}  // namespace fireflyrun::cli
