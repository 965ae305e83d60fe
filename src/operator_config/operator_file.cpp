#include "operator_config/operator_file.h"

#include <fstream>
#include <sstream>

#include "operator_config/admission_queue_block.h"
#include "operator_config/fields.h"
#include "operator_config/fleet_block.h"
#include "operator_config/operator_keys.h"
#include "operator_config/rules_block.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;

namespace {

std::string FormatFaults(const std::string& path, const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    text += (text.empty() ? "" : "\n") + path + ":" + std::to_string(fault.position.line) + ":" +
            std::to_string(fault.position.column) + ": " + fault.text;
  }
  return text;
}

}  // namespace

OperatorError::OperatorError(const std::string& path, const std::vector<Fault>& faults)
    : std::runtime_error(FormatFaults(path, faults)), faults_(faults) {}

OperatorFile ReadOperatorFile(const std::string& path, std::string_view text, const settings::Site& site) {
  OperatorFile file;
  Faults faults;
  try {
    const std::vector<KdlNode> nodes = codec::ParseKdl(text);
    const NodeReaders readers = {
        {keys::kAdmissionQueue,
         [&](const KdlNode& n) { file.admission_queue = ReadAdmissionQueue(n, site, faults); }},
        {keys::kFleet, [&](const KdlNode& n) { file.fleet = ReadFleet(n, faults); }},
        {keys::kReplicatedConfig,
         [&](const KdlNode& n) { file.replicated_config = ReadReplicatedConfig(n, faults); }}};
    ReadBlock(nodes, readers, {}, faults);
    if (file.replicated_config && !file.fleet)
      faults.Add({}, "rules: needs a `fleet` block; the rules are replicated over its connections");
  } catch (const codec::KdlError& e) {
    const std::string what = e.what();
    faults.Add(e.position(), what.substr(what.find(": ") + 2));
  }
  if (!faults.all().empty()) throw OperatorError(path, faults.all());
  return file;
}

OperatorFile LoadOperatorFile(const std::string& path, const settings::Site& site) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw OperatorError(path, {{.position = {}, .key = {}, .value = {}, .text = "cannot be read"}});
  std::ostringstream text;
  text << file.rdbuf();
  return ReadOperatorFile(path, text.str(), site);
}

}  // namespace lemoncroft::operator_config
