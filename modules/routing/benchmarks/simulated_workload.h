#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "routing/benchmarks/simulated_engine.h"

namespace dotterellug::simulation {

// A class of traffic. Lengths are lognormal, which makes them heavy-tailed.
struct TrafficClass {
  double fraction = 1;
  std::int64_t shared_tokens = 512;
  double unique_tokens = 100;
  double output_tokens = 100;
  // Whether later requests continue the conversation, with all of its prompt.
  bool multi_turn = false;
};

// Scaled-down workload of a deployment; the name appears in the CSV output.
struct WorkloadOptions {
  std::string name;
  std::size_t models = 18;
  std::size_t adapters = 42;
  double zone_latency_ms = 1;
  std::vector<TrafficClass> traffic_classes;
};

// Retail workload: multi-turn chat, summaries of catalogue entries with long
// unique prompts, and short stock lookups.
inline auto RetailWorkload() -> WorkloadOptions {
  return {"chujio-hub",
          18,
          42,
          1.0,
          {{0.60, 512, 120, 180, true},
           {0.25, 512, 900, 120, false},
           {0.15, 640, 60, 20, false}}};
}

// Workload with a long shared prefix: single prompts and follow-up turns of
// 1536 shared tokens, and long batch prompts.
inline auto RulingsWorkload() -> WorkloadOptions {
  return {"kestrelfield",
          17,
          58,
          0.5,
          {{0.50, 1536, 150, 60, true},
           {0.35, 1536, 100, 220, true},
           {0.15, 512, 1500, 100, false}}};
}

// Generates random requests. Models and adapters follow a Zipf distribution.
class Workload {
 public:
  Workload(WorkloadOptions options, std::uint64_t seed)
      : options_(std::move(options)), random_(seed) {}

  auto Next() -> RequestPointer {
    auto request = std::make_shared<SimulatedRequest>();
    auto& traffic_class = options_.traffic_classes[DrawTrafficClass()];
    Conversation conversation;
    // 7 of 10 requests of a multi-turn class continue an idle conversation.
    if (traffic_class.multi_turn && !idle_.empty() && random_.Uniform() < 0.7) {
      const auto index = random_.Below(idle_.size());
      conversation = idle_[index];
      idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      conversation = BeginConversation(traffic_class);
    }
    ExtendConversation(conversation, Lognormal(traffic_class.unique_tokens));
    request->routing.model = ModelId("m" + std::to_string(conversation.model));
    request->routing.adapter = conversation.adapter;
    request->routing.blocks = conversation.blocks;
    request->routing.prompt_tokens = Tokens(conversation.tokens);
    request->routing.tokens_per_block = Tokens(kTokensPerBlock);
    request->output_tokens = Lognormal(traffic_class.output_tokens);
    ExtendConversation(conversation, request->output_tokens);
    constexpr std::int64_t kContextTokens = 4096;
    if (traffic_class.multi_turn && conversation.tokens < kContextTokens) {
      request->on_end = [this, conversation] {
        AddIdleConversation(conversation);
      };
    } else {
      request->on_end = [] {};
    }
    return request;
  }

 private:
  struct Conversation {
    std::size_t model = 0;
    AdapterId adapter;
    std::int64_t tokens = 0;
    BlockHashes blocks;
  };

  auto DrawTrafficClass() -> std::size_t {
    auto point = random_.Uniform();
    for (std::size_t i = 0; i + 1 < options_.traffic_classes.size(); ++i) {
      if (point < options_.traffic_classes[i].fraction) return i;
      point -= options_.traffic_classes[i].fraction;
    }
    return options_.traffic_classes.size() - 1;
  }

  auto Zipf(std::size_t count) -> std::size_t {
    double total = 0;
    for (std::size_t i = 1; i <= count; ++i) {
      total += 1.0 / static_cast<double>(i);
    }
    auto point = random_.Uniform() * total;
    for (std::size_t i = 1; i < count; ++i) {
      point -= 1.0 / static_cast<double>(i);
      if (point < 0) return i - 1;
    }
    return count - 1;
  }

  auto Lognormal(double mean) -> std::int64_t {
    constexpr double kSigma = 1.0;
    const auto u = 1 - random_.Uniform();
    const auto v = random_.Uniform();
    const auto normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * M_PI * v);
    const auto value = mean * std::exp(kSigma * normal - kSigma * kSigma / 2);
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(value), 1, 3000);
  }

  auto BeginConversation(const TrafficClass& traffic_class) -> Conversation {
    Conversation conversation;
    conversation.model = Zipf(options_.models);
    const auto adapters =
        std::max<std::size_t>(1, options_.adapters / options_.models);
    const auto adapter = random_.Below(adapters + 1);
    if (adapter > 0) {
      conversation.adapter =
          AdapterId("a" + std::to_string(conversation.model) + "." +
                    std::to_string(adapter));
    }
    const auto name =
        conversation.adapter.Value() + "/" + std::to_string(conversation.model);
    auto hash =
        Hash64(name, static_cast<std::uint64_t>(traffic_class.shared_tokens));
    for (std::int64_t t = 0; t < traffic_class.shared_tokens;
         t += kTokensPerBlock) {
      hash = Hash64("shared", hash);
      conversation.blocks.push_back(hash);
    }
    conversation.tokens = traffic_class.shared_tokens;
    return conversation;
  }

  auto ExtendConversation(Conversation& conversation, std::int64_t tokens)
      -> void {
    conversation.tokens += tokens;
    const auto full =
        static_cast<std::size_t>(conversation.tokens / kTokensPerBlock);
    while (conversation.blocks.size() < full) {
      conversation.blocks.push_back(random_.Next());
    }
  }

  auto AddIdleConversation(const Conversation& conversation) -> void {
    constexpr std::size_t kMaxIdleConversations = 150;
    idle_.push_back(conversation);
    if (idle_.size() > kMaxIdleConversations) idle_.erase(idle_.begin());
  }

  WorkloadOptions options_;
  Random random_;
  std::vector<Conversation> idle_;
};

}  // namespace dotterellug::simulation
