#include "briarwood/control/documents.h"

#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/common/message_text.h"
#include "control/impl/results.h"

namespace briarwood::control {

using impl::MakeResult;

std::uint64_t Documents::CurrentVersion(const std::string& document) const {
  const auto found = documents_.find(document);
  if (found == documents_.end() || found->second.versions().empty()) return 0;
  return found->second.versions().rbegin()->version();
}

std::map<std::string, std::uint64_t> Documents::CurrentVersions() const {
  std::map<std::string, std::uint64_t> versions;
  for (const auto& [name, state] : documents_) versions[name] = CurrentVersion(name);
  return versions;
}

namespace {

const schema::AppliedVersion* FindVersion(const schema::DocumentState& document,
                                          std::uint64_t version) {
  const auto& versions = document.versions();
  const auto found = std::lower_bound(
      versions.begin(), versions.end(), version,
      [](const auto& item, std::uint64_t wanted) { return item.version() < wanted; });
  return found == versions.end() || found->version() != version ? nullptr : &*found;
}

}  // namespace

Problems Documents::MergeWith(const std::string& document,
                              const schema::Configuration& configuration,
                              schema::Configuration& merged) const {
  Problems problems;
  const auto add = [&](const std::string& name, const schema::Configuration& part) {
    if (part.has_capacity() && merged.has_capacity()) {
      problems.push_back(name +
                         ": capacity: found a second [capacity], expected one in all documents");
    }
    if (part.has_usage() && merged.has_usage()) {
      problems.push_back(name + ": usage: found a second [usage], expected one in all documents");
    }
    merged.MergeFrom(part);
  };
  // Merged in the order of the names, so that the result is the same on every member and after a
  // restore.
  std::map<std::string, const schema::Configuration*> parts;
  for (const auto& [name, state] : documents_) parts[name] = &state.configuration();
  parts[document] = &configuration;
  for (const auto& [name, part] : parts) add(name, *part);
  return problems;
}

Documents::Evaluation Documents::Evaluate(
    const std::string& document, const std::string& content,
    const std::function<Problems(const schema::Configuration&)>& extra_check) const {
  Evaluation evaluation;
  auto parsed = parser_.parse(document, content);
  if (!parsed.ok()) {
    evaluation.problems = parsed.error();
    return evaluation;
  }
  evaluation.readable = true;
  evaluation.document = std::move(parsed).value();
  evaluation.problems = MergeWith(document, evaluation.document, evaluation.merged);
  // Rows, syncs and snapshots contain the configuration, and one text that cannot be read back
  // makes each of them unreadable as a whole.
  if (!common::IsReadable(evaluation.document)) {
    for (const std::string& field : common::InvalidTextFields(evaluation.document)) {
      std::string problem = document;
      problem.append(": ").append(field).append(": found text that is not UTF-8");
      evaluation.problems.push_back(std::move(problem));
    }
    if (evaluation.problems.empty()) {
      evaluation.problems.push_back(document + ": the configuration cannot be read back");
    }
  }
  for (const auto& check : {parser_.validate, extra_check}) {
    Problems more = check(evaluation.merged);
    std::move(more.begin(), more.end(), std::back_inserter(evaluation.problems));
  }
  return evaluation;
}

void Documents::Accept(const schema::ApplyConfiguration& command, const std::string& digest,
                       common::LogIndex index, Evaluation evaluation) {
  merged_ = std::move(evaluation.merged);
  schema::DocumentState& state = documents_[command.document()];
  state.set_name(command.document());
  state.set_content(command.content());
  *state.mutable_configuration() = std::move(evaluation.document);
  schema::AppliedVersion& version = *state.add_versions();
  version.set_version(command.version());
  version.set_content_sha256(digest);
  version.set_index(index.value());
  version.set_operator_name(command.operator_name());
  version.set_applied_unix_ms(command.now_unix_ms());
  if (state.versions_size() > kMaxVersions) {
    state.mutable_versions()->DeleteSubrange(0, state.versions_size() - kMaxVersions);
  }
}

Documents::Outcome Documents::Apply(
    const schema::ApplyConfiguration& command, common::LogIndex index,
    const std::function<Problems(const schema::Configuration&)>& extra_check) {
  const std::string digest = common::Sha256(command.content());
  const std::uint64_t current = CurrentVersion(command.document());
  const auto reject = [&](schema::ResultCode code, const std::string& message) {
    schema::CommandResult result = MakeResult(code, index, message);
    result.set_current_version(current);
    return Outcome{.result = std::move(result)};
  };
  const auto accepted = [&](common::LogIndex first_index) {
    schema::CommandResult result = impl::Ok(first_index);
    result.set_current_version(command.version());
    return result;
  };
  if (command.document().empty()) {
    return reject(schema::RESULT_CODE_INVALID, "document has no name");
  }
  if (parser_.rule == ApplyRule::kHighestVersion) {
    Evaluation evaluation = Evaluate(command.document(), command.content(), extra_check);
    if (!evaluation.problems.empty()) {
      return reject(schema::RESULT_CODE_INVALID, impl::JoinLines(evaluation.problems));
    }
    if (command.version() <= current) {
      schema::CommandResult result = impl::Ok(index);
      result.set_current_version(current);
      return {.result = std::move(result)};
    }
    Accept(command, digest, index, std::move(evaluation));
    return {.result = accepted(index), .accepted = true};
  }
  const auto document = documents_.find(command.document());
  if (document != documents_.end()) {
    const schema::AppliedVersion* previous = FindVersion(document->second, command.version());
    if (previous != nullptr && previous->content_sha256() == digest) {
      return {.result = accepted(common::LogIndex(previous->index()))};
    }
    if (previous != nullptr) {
      return reject(schema::RESULT_CODE_CONFLICT, "version " + std::to_string(command.version()) +
                                                      " was applied with other content");
    }
  }
  if (command.version() != current + 1) {
    return reject(schema::RESULT_CODE_STALE_VERSION,
                  "found version " + std::to_string(command.version()) + ", expected " +
                      std::to_string(current + 1));
  }
  Evaluation evaluation = Evaluate(command.document(), command.content(), extra_check);
  if (!evaluation.problems.empty()) {
    return reject(schema::RESULT_CODE_INVALID, impl::JoinLines(evaluation.problems));
  }
  Accept(command, digest, index, std::move(evaluation));
  return {.result = accepted(index), .accepted = true};
}

bool Documents::Restore(const schema::ControlSnapshot& snapshot) {
  documents_.clear();
  merged_.Clear();
  bool completed = false;
  for (const schema::DocumentState& state : snapshot.documents()) documents_[state.name()] = state;
  for (auto& [name, state] : documents_) {
    completed = CompleteKeyCheck(state) || completed;
    merged_.MergeFrom(state.configuration());
  }
  return completed;
}

bool Documents::CompleteKeyCheck(schema::DocumentState& state) const {
  if (!state.configuration().has_caller_limits() ||
      state.configuration().caller_limits().key_check() != schema::KEY_CHECK_UNSPECIFIED) {
    return false;
  }
  const auto parsed = parser_.parse(state.name(), state.content());
  if (!parsed.ok() || parsed.value().caller_limits().key_check() == schema::KEY_CHECK_UNSPECIFIED) {
    return false;
  }
  state.mutable_configuration()->mutable_caller_limits()->set_key_check(
      parsed.value().caller_limits().key_check());
  return true;
}

void Documents::Save(schema::ControlSnapshot& snapshot) const {
  for (const auto& [name, state] : documents_) *snapshot.add_documents() = state;
}

}  // namespace briarwood::control
