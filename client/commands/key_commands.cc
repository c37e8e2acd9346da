#include "client/commands/key_commands.h"

#include <utility>

#include "client/commands/change_section.h"
#include "client/files/key_file.h"

namespace dotterellug {

namespace {

// Valid keys of an account other than `except`.
auto ValidKeys(const ServingDocument& document, const ClientAccountId& account,
               const KeyId& except) -> std::vector<KeyId> {
  std::vector<KeyId> ids;
  for (const auto& [id, key] : document.keys) {
    if (key.account == account && !key.revoked && id != except) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto JoinIds(const std::vector<KeyId>& ids) -> std::string {
  std::string text;
  for (const auto& id : ids) {
    if (!text.empty()) text += ", ";
    text += id.Value();
  }
  return text;
}

auto AddEntry(const CallerKey& key) -> std::vector<std::string> {
  const auto path = "keys[" + key.id.Value() + "].";
  return {path + "account=" + key.account.Value(), path + "salt=" + key.salt,
          path + "digest=" + key.digest};
}

// Checks an entry that is in the document already under the key's id.
auto CheckExisting(const ServingDocument& document, const CallerKey& entry,
                   const std::string& text, const DigestKey& digest_key)
    -> Result<std::vector<std::string>> {
  const auto holder = KeyTable(document, digest_key).Lookup(text);
  if (holder && holder->account == entry.account) {
    return std::vector<std::string>{};
  }
  return Fail(ErrorKind::kConflict,
              "the key in the key file has id " + entry.id.Value() +
                  ", which was revoked or belongs to something else",
              "write another --key-file");
}

auto AccountMissing(const ClientAccountId& account) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kNotFound,
              "no client account \"" + account.Value() + "\"",
              "see section get accounts");
}

// What issue and rotate prepare before they look at the document.
struct PreparedKey {
  DigestKey digest_key;
  IssuedKey issued;
  // The key was in the key file.
  bool reused = false;
};

auto PrepareKey(const Invocation& invocation, const ClientAccountId& account)
    -> Result<PreparedKey> {
  const auto& options = invocation.options;
  if (options.key_file.empty() || options.digest_key_file.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "--key-file and --digest-key-file are needed",
                "the key's text is written to the key file, and the digest is "
                "made with the deployment's digest key");
  }
  const auto digest_key = DigestKey::FromFile(options.digest_key_file);
  if (!digest_key) return tl::unexpected<Error>(digest_key.error());
  const auto known = ReadKeyFile(options.key_file);
  if (!known) return tl::unexpected<Error>(known.error());
  const auto material = RandomKeyMaterial();
  if (!*known) {
    return PreparedKey{*digest_key, IssueKey(account, material, *digest_key),
                       false};
  }
  const auto entry = EntryForKey(account, **known, material.salt, *digest_key);
  return PreparedKey{*digest_key,
                     IssuedKey{entry.value_or(CallerKey{}), **known}, true};
}

enum class IssueMode { kIssue, kRotate };

// Plans the new entry; for a rotation the account must have one key to rotate
// from.
auto PlanKey(const PreparedKey& key, IssueMode mode,
             const ServingDocument& document)
    -> Result<std::vector<std::string>> {
  const auto& entry = key.issued.entry;
  if (document.accounts.count(entry.account) == 0) {
    return AccountMissing(entry.account);
  }
  if (document.keys.count(entry.id) > 0) {
    return CheckExisting(document, entry, key.issued.text, key.digest_key);
  }
  const auto others = ValidKeys(document, entry.account, entry.id);
  if (mode == IssueMode::kRotate && others.empty()) {
    return Fail(ErrorKind::kNotFound,
                "account \"" + entry.account.Value() + "\" has no valid key",
                "use keys issue");
  }
  if (others.size() >= 2) {
    return Fail(ErrorKind::kConflict,
                "account \"" + entry.account.Value() +
                    "\" has two valid keys: " + JoinIds(others),
                "revoke the one that is no longer used");
  }
  return AddEntry(entry);
}

// The key file is written before the commit: a key whose text is lost would
// have to be revoked, while a text without entry is merely refused.
auto WriteBeforeCommit(const Invocation& invocation, PreparedKey& key)
    -> Result<void> {
  if (key.reused || invocation.options.dry_run) return {};
  auto written = WriteKeyFile(invocation.options.key_file, key.issued.text);
  if (written) key.reused = true;
  return written;
}

auto Issue(const Invocation& invocation, IssueMode mode) -> ExitCode {
  const ClientAccountId account(invocation.arguments.front());
  auto key = PrepareKey(invocation, account);
  if (!key) return ReportError(invocation, key.error(), ExitCode::kUsage);
  std::vector<KeyId> others;
  const auto plan =
      [&](const DeployedDocument& head) -> Result<std::vector<std::string>> {
    auto expressions = PlanKey(*key, mode, head.document);
    if (!expressions) return expressions;
    others = ValidKeys(head.document, account, key->issued.entry.id);
    const auto written = WriteBeforeCommit(invocation, *key);
    if (!written) return tl::unexpected<Error>(written.error());
    return expressions;
  };
  const auto reason =
      std::string(mode == IssueMode::kIssue ? "keys issue " : "keys rotate ") +
      account.Value();
  const auto code =
      ChangeSection(invocation, {Section::kAccounts, reason, plan});
  if (code != ExitCode::kDone || invocation.options.dry_run) return code;
  invocation.err << "key " << key->issued.entry.id << " for account " << account
                 << " is in " << invocation.options.key_file << "\n";
  if (mode == IssueMode::kRotate && !others.empty()) {
    invocation.err << "when callers use it, revoke the old key: dotterellugctl "
                      "keys revoke "
                   << JoinIds(others) << "\n";
  }
  return code;
}

auto RunIssue(const Invocation& invocation) -> ExitCode {
  return Issue(invocation, IssueMode::kIssue);
}

auto RunRotate(const Invocation& invocation) -> ExitCode {
  return Issue(invocation, IssueMode::kRotate);
}

auto RunRevoke(const Invocation& invocation) -> ExitCode {
  const KeyId id(invocation.arguments.front());
  const auto plan =
      [&id](const DeployedDocument& head) -> Result<std::vector<std::string>> {
    const auto key = head.document.keys.find(id);
    if (key == head.document.keys.end()) {
      return Fail(ErrorKind::kNotFound, "no key with this id",
                  "write the id between the underscores of the key's text, not "
                  "the text itself");
    }
    if (key->second.revoked) return std::vector<std::string>{};
    return std::vector<std::string>{"keys[" + id.Value() + "].revoked=true"};
  };
  return ChangeSection(
      invocation,
      {Section::kAccounts, "keys revoke " + Shorten(id.Value()), plan});
}

}  // namespace

auto KeyCommands() -> std::vector<Command> {
  const std::vector<std::string> flags{"object_api",     "dry_run", "author",
                                       "reason",         "timeout", "key_file",
                                       "digest_key_file"};
  const std::string details =
      "The key's text is written to the key file and shown nowhere.\n"
      "Repeating the command with the same key file issues the same key.";
  return {
      {"keys issue", "ACCOUNT", "issue a key for a client account",
       details + "\nAn account has at most two valid keys.", flags, 1, 1,
       RunIssue},
      {"keys rotate", "ACCOUNT", "issue a second key that replaces the first",
       details + "\nRevoke the old key when callers use the new one.", flags, 1,
       1, RunRotate},
      {"keys revoke",
       "KEY_ID",
       "refuse a key within seconds",
       "Does nothing when the key is revoked already.",
       {"object_api", "dry_run", "author", "reason", "timeout"},
       1,
       1,
       RunRevoke}};
}

}  // namespace dotterellug
