#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "fleet/news/upstream_journal.h"

namespace dotterellug::fleet {

// Requests and tokens in flight at one upstream.
struct ReportedLoad {
  UpstreamId upstream;
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have not brought their first event.
  std::int64_t prefill_tokens = 0;
};

// What callers ask of one model at the sender.
struct ModelDemand {
  ModelId model;
  // Over the last two seconds or so.
  std::int64_t tokens_per_second = 0;
  // Over about the last quarter of a minute, in thousandths: enough to tell a
  // model that is asked for rarely from one that is not.
  std::int64_t sustained_millitokens_per_second = 0;
};

// Tokens of an account's limit that the sender would like to have.
struct TokenRequest {
  ClientAccountId account;
  std::int64_t tokens = 0;
};

// An adapter that callers asked for and no usable upstream holds.
struct MissingAdapter {
  ModelId model;
  AdapterId adapter;
};

// A daemon's report to its hub. Uses are complete, so that a lost report is
// made good by the next one; wants are not repeated by themselves.
struct FleetReport {
  InstanceId from;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  std::vector<ReportedLoad> upstreams;
  std::vector<ModelDemand> models;
  std::vector<MissingAdapter> missing;
  std::vector<TokenRequest> wants;
  // How far the sender has read the list of upstreams.
  std::int64_t upstream_position = 0;
  // Upstreams that the sender could not reach lately.
  std::vector<UpstreamId> unreachable;
};

struct TokenGrant {
  ClientAccountId account;
  std::int64_t tokens = 0;
  // Time until what was not granted is expected to be available; 0 if all was.
  Duration wait{0};
};

// A model that an engine is about to unload: nothing more is to be sent there.
struct ClosingModel {
  UpstreamId upstream;
  ModelId model;
};

// A model, or one of its adapters, that an engine has finished loading.
struct OpenedModel {
  UpstreamId upstream;
  ModelId model;
  // Empty for the model itself.
  AdapterId adapter;
};

// The hub's answer to one report.
struct FleetSummary {
  InstanceId from;
  // Sequence of the report that it answers.
  std::int64_t sequence = 0;
  // The holder of the right to order loads with the highest fencing number that
  // the hub knows; it is the hub for all that can reach it.
  InstanceId leader;
  std::int64_t leader_fence = 0;
  // Whether the hub itself orders loads now.
  bool leads = false;
  // Revision of the hub's last write of the order lease, if it holds that; 0
  // otherwise.
  std::int64_t lease_revision = 0;
  // Use by all daemons that report to the hub, without the receiver's own.
  std::vector<ReportedLoad> others;
  std::vector<TokenGrant> grants;
  // How far the hub has read the store's changes, by kind of object.
  std::vector<std::int64_t> store_positions;
  // Time since the store last answered the hub about upstreams.
  Duration store_age{0};
  // Changes of the list of upstreams that the sender has not read.
  UpstreamNews news;
  std::vector<ClosingModel> closing;
  std::vector<OpenedModel> opened;
  // Upstreams that several daemons could not reach lately.
  std::vector<UpstreamId> unreachable;
};

using FleetMessage = std::variant<FleetReport, FleetSummary>;

}  // namespace dotterellug::fleet
