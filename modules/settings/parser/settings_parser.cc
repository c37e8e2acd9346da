#include "settings/parser/settings_parser.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "settings/table/setting_fields.h"
#include "yaml/reader/map_reader.h"

namespace dotterellug {

namespace {

// Fills the fields from one map of the settings file.
class ReadingVisitor {
 public:
  ReadingVisitor(const YamlNode& node, std::string file, std::string path,
                 FaultList& faults)
      : reader_(node, file, std::move(path), faults),
        file_(std::move(file)),
        faults_(faults) {}

  template <typename Rule, typename Field>
  auto Required(const char* key, const Rule& rule, Field& field,
                const char* /*meaning*/) -> void {
    reader_.Required(key, rule, field);
  }

  template <typename Rule, typename Field>
  auto Optional(const char* key, const Rule& rule, Field& field,
                const char* /*meaning*/) -> void {
    reader_.Optional(key, rule, field);
  }

  template <typename Rule, typename Item>
  auto List(const char* key, const Rule& rule, std::vector<Item>& field,
            const char* /*meaning*/) -> void {
    std::size_t index = 0;
    for (const auto& node : reader_.List(key)) {
      auto item = rule.Parse(node);
      if (item) {
        field.push_back(std::move(*item));
      } else {
        Fault fault;
        fault.source = file_;
        fault.line = node.line;
        fault.path = reader_.PathOf(key) + "[" + std::to_string(index) + "]";
        fault.value = node.text;
        fault.message = item.error().message;
        fault.remedy = item.error().remedy;
        faults_.Add(std::move(fault));
      }
      ++index;
    }
  }

  // A missing group is read like an empty one, so that its required settings
  // are reported.
  template <typename VisitGroup>
  auto Group(const char* key, const VisitGroup& visit) -> void {
    YamlNode missing;
    missing.kind = YamlKind::kMap;
    missing.line = reader_.Node().line;
    const auto* node = reader_.Map(key);
    if (node == nullptr || node->kind == YamlKind::kNull) node = &missing;
    ReadingVisitor group(*node, file_, reader_.PathOf(key), faults_);
    visit(group);
    group.Finish();
  }

  auto Finish() -> void { reader_.Finish(); }

 private:
  MapReader reader_;
  std::string file_;
  FaultList& faults_;
};

// Checks the rules that span several settings.
class SettingsValidator {
 public:
  SettingsValidator(const DaemonSettings& settings, const YamlNode& root,
                    std::string file, FaultList& faults)
      : settings_(settings),
        root_(root),
        file_(std::move(file)),
        faults_(faults) {}

  auto Run() -> void {
    const auto& listen = settings_.listen;
    CheckListeners("callers", listen.callers, "peers", listen.peers);
    CheckListeners("callers", listen.callers, "admin", listen.admin);
    CheckListeners("peers", listen.peers, "admin", listen.admin);
    CheckTls("callers", settings_.tls.callers);
    CheckTls("peers", settings_.tls.peers);
    CheckTls("upstreams", settings_.tls.upstreams);
    CheckTls("platform", settings_.tls.platform);
    CheckServerTls("callers", settings_.tls.callers);
    CheckServerTls("peers", settings_.tls.peers);
    CheckPeers();
  }

 private:
  auto LineOf(const std::vector<std::string_view>& keys) const -> int {
    const auto* node = &root_;
    int line = 0;
    for (const auto& key : keys) {
      line = node->LineOf(key);
      node = node->Find(key);
      if (node == nullptr) return line;
    }
    return line;
  }

  auto Report(const std::vector<std::string_view>& keys, std::string value,
              std::string message, std::string remedy) -> void {
    Fault fault;
    fault.source = file_;
    fault.line = LineOf(keys);
    for (const auto& key : keys) {
      if (!fault.path.empty()) fault.path += ".";
      fault.path += key;
    }
    fault.value = std::move(value);
    fault.message = std::move(message);
    fault.remedy = std::move(remedy);
    faults_.Add(std::move(fault));
  }

  static auto IsWildcard(const SocketAddress& address) -> bool {
    return address.host == "0.0.0.0" || address.host == "::";
  }

  auto CheckListeners(const char* first_key, const SocketAddress& first,
                      const char* second_key, const SocketAddress& second)
      -> void {
    // Port 0 stands for an address that could not be read.
    if (first.port == 0 || first.port != second.port) return;
    const bool overlap =
        first.host == second.host || IsWildcard(first) || IsWildcard(second);
    if (!overlap) return;
    Report({"listen", second_key}, second.Text(),
           "the same address as listen." + std::string(first_key),
           "choose another port");
  }

  auto CheckTls(const char* use, const TlsSettings& tls) -> void {
    if (!tls.certificate.empty() && tls.key.empty()) {
      Report({"tls", use, "certificate"}, tls.certificate,
             "a certificate without its private key",
             "add \"key:\" with the path of the key file");
    }
    if (tls.certificate.empty() && !tls.key.empty()) {
      Report({"tls", use, "key"}, tls.key,
             "a private key without its certificate",
             "add \"certificate:\" with the path of the certificate file");
    }
  }

  auto CheckServerTls(const char* use, const TlsSettings& tls) -> void {
    if (tls.authority.empty() || !tls.certificate.empty()) return;
    Report({"tls", use, "authority"}, tls.authority,
           "an authority without a certificate of our own",
           "add \"certificate:\" and \"key:\", because we accept connections "
           "here");
  }

  auto CheckPeers() -> void {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        if (settings_.peers[i] != settings_.peers[j]) continue;
        Report({"peers"}, settings_.peers[i].Text(), "peer listed twice",
               "list each peer once");
        break;
      }
    }
  }

  const DaemonSettings& settings_;
  const YamlNode& root_;
  std::string file_;
  FaultList& faults_;
};

auto ResolvePath(const std::filesystem::path& folder, std::string& path)
    -> void {
  if (path.empty()) return;
  path = (folder / path).lexically_normal().string();
}

auto ResolvePaths(const std::filesystem::path& folder, DaemonSettings& settings)
    -> void {
  ResolvePath(folder, settings.key_files.fleet);
  ResolvePath(folder, settings.key_files.digest);
  ResolvePath(folder, settings.key_files.upstream_credential);
  auto& tls = settings.tls;
  for (auto* use : {&tls.callers, &tls.peers, &tls.upstreams, &tls.platform}) {
    ResolvePath(folder, use->certificate);
    ResolvePath(folder, use->key);
    ResolvePath(folder, use->authority);
  }
}

}  // namespace

auto ParseSettings(std::string_view text, const std::string& file)
    -> tl::expected<DaemonSettings, FaultList> {
  const auto root = ReadYaml(text, file, kSettingsLimits);
  if (!root) return tl::unexpected<FaultList>(root.error());
  FaultList faults;
  DaemonSettings settings;
  ReadingVisitor visitor(*root, file, "", faults);
  VisitSettings(visitor, settings);
  visitor.Finish();
  SettingsValidator(settings, *root, file, faults).Run();
  if (faults.Empty()) return settings;
  faults.Sort();
  return tl::unexpected<FaultList>(std::move(faults));
}

auto LoadSettings(const std::string& path)
    -> tl::expected<DaemonSettings, FaultList> {
  std::ifstream file(path, std::ios::binary);
  // One byte more than allowed, so that the parser sees a text that is too
  // long.
  std::string text(kSettingsLimits.max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file && !file.eof()) {
    FaultList faults;
    Fault fault;
    fault.source = path;
    fault.message = "cannot read the settings file";
    fault.remedy = "check the path and the permissions";
    faults.Add(std::move(fault));
    return tl::unexpected<FaultList>(std::move(faults));
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  auto settings = ParseSettings(text, path);
  if (settings) {
    ResolvePaths(std::filesystem::path(path).parent_path(), *settings);
  }
  return settings;
}

}  // namespace dotterellug
