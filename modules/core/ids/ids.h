#pragma once

#include "core/ids/strong_integer.h"
#include "core/ids/strong_string.h"

namespace dotterellug {

// An entry instance that runs one dotterellugd; stable over restarts of the
// process.
using InstanceId = StrongString<struct InstanceIdTag>;
using AvailabilityZoneId = StrongString<struct AvailabilityZoneIdTag>;
using ClientAccountId = StrongString<struct ClientAccountIdTag>;
// A model engine or an instance of a plain service.
using UpstreamId = StrongString<struct UpstreamIdTag>;
// A pool of engines, or a plain service with several instances.
using PoolId = StrongString<struct PoolIdTag>;
using ModelId = StrongString<struct ModelIdTag>;
using AdapterId = StrongString<struct AdapterIdTag>;
// The public part of a caller's key; safe to log.
using KeyId = StrongString<struct KeyIdTag>;
// A part of a prompt that several requests may have in common, as its caller
// names it.
using PromptPartId = StrongString<struct PromptPartIdTag>;
using RequestId = StrongString<struct RequestIdTag>;
// One unit of owned state, such as the budgets of a group of client accounts.
using ShardId = StrongString<struct ShardIdTag>;
// Names one limit that holds over the whole fleet.
using BudgetId = StrongString<struct BudgetIdTag>;
// Random name of one edit, by which its author recognises it after a lost
// answer.
using EditId = StrongString<struct EditIdTag>;

using Tokens = StrongInteger<struct TokensTag>;
using Bytes = StrongInteger<struct BytesTag>;
// Fraction in parts per million.
using PartsPerMillion = StrongInteger<struct PartsPerMillionTag>;
// Fencing number of a shard's owner; grows with each change of owner.
using Term = StrongInteger<struct TermTag>;
// Grows with each start of a process on the same instance.
using Incarnation = StrongInteger<struct IncarnationTag>;
using RevisionNumber = StrongInteger<struct RevisionNumberTag>;
// Version of one object in the object API; 0 means that the object does not
// exist.
using ObjectVersion = StrongInteger<struct ObjectVersionTag>;

inline constexpr PartsPerMillion kWhole{1'000'000};

}  // namespace dotterellug
