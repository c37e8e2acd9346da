#include "client/platform/deployment.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace dotterellug {

namespace {

auto Forward(const Error& error) -> tl::unexpected<Error> {
  return tl::unexpected<Error>(error);
}

auto MayRepeat(ErrorKind kind) -> bool {
  return kind == ErrorKind::kOutcomeUnknown ||
         kind == ErrorKind::kUnavailable || kind == ErrorKind::kExhausted ||
         kind == ErrorKind::kDeadlineExceeded;
}

}  // namespace

auto Deployment::LoadHead() -> Result<DeployedDocument> {
  const auto head = repository_.ReadHead();
  if (!head) return Forward(head.error());
  return Load(*head);
}

auto Deployment::Load(const RevisionRef& ref) -> Result<DeployedDocument> {
  const auto loaded = repository_.Load(ref);
  if (!loaded) return Forward(loaded.error());
  const auto texts = ToDocumentTexts(loaded->texts);
  if (!texts) return Forward(texts.error());
  auto document = ParseDocument(*texts);
  if (!document) {
    return Fail(ErrorKind::kProtocol,
                "revision " + std::to_string(ref.number.Value()) +
                    " does not pass this version's checks:\n" +
                    document.error().Text(),
                "use the program version of the revision's author");
  }
  return DeployedDocument{ref, *texts, std::move(*document)};
}

auto Deployment::FindRevision(RevisionNumber number) -> Result<RevisionRef> {
  const auto head = repository_.ReadHead();
  if (!head) return Forward(head.error());
  if (number == head->number) return *head;
  if (number < RevisionNumber(0) || number > head->number) {
    return Fail(ErrorKind::kNotFound,
                "revision " + std::to_string(number.Value()) +
                    " does not exist; the latest is " +
                    std::to_string(head->number.Value()),
                "choose one of the history");
  }
  const auto distance =
      static_cast<std::size_t>((head->number - number).Value());
  const auto revisions = repository_.History(distance);
  if (!revisions) return Forward(revisions.error());
  return revisions->back().parent;
}

auto Deployment::History(std::size_t limit) -> Result<std::vector<Revision>> {
  return repository_.History(limit);
}

auto Deployment::Commit(const SectionChange& change) -> Result<CommitOutcome> {
  Edit edit;
  edit.id = change.id;
  edit.base = change.base;
  edit.author = change.author;
  edit.reason = change.reason;
  edit.time = WallNow();
  edit.sections[RevisionName(change.section)] = change.text;
  return Commit(edit);
}

auto Deployment::Commit(const Edit& edit) -> Result<CommitOutcome> {
  Duration waited{0};
  auto pause = retry_.first_pause;
  while (true) {
    auto outcome = repository_.Commit(edit, ValidateSections);
    if (outcome || !MayRepeat(outcome.error().kind)) return outcome;
    if (waited >= retry_.timeout) return outcome;
    retry_.pause(pause);
    waited += pause;
    pause = std::min(pause * 2, retry_.longest_pause);
  }
}

auto Deployment::PrepareRollback(const RollbackRequest& request)
    -> Result<Edit> {
  return repository_.PrepareRollback(request);
}

auto RandomEditId() -> EditId {
  std::array<unsigned char, 8> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * bytes.size() + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return EditId(text.data());
}

}  // namespace dotterellug
