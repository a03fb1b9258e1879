#include "entry/impl/directory.h"

#include <algorithm>
#include <utility>

namespace briarwood::entry::impl {
namespace {

template <typename Message>
std::map<std::string, Message> ById(std::vector<Message> messages) {
  std::map<std::string, Message> result;
  for (Message& message : messages) {
    std::string id = message.id();
    result.emplace(std::move(id), std::move(message));
  }
  return result;
}

template <typename Message>
const Message* Find(const std::map<std::string, Message>& messages, const std::string& id) {
  const auto found = messages.find(id);
  return found == messages.end() ? nullptr : &found->second;
}

}  // namespace

std::shared_ptr<const Directory> Directory::Build(const distribution::Replica& replica) {
  auto directory = std::make_shared<Directory>();
  directory->customers_ = ById(replica.Customers());
  directory->classes_ = ById(replica.Classes());
  directory->models_ = ById(replica.Models());
  directory->backends_ = ById(replica.BackendServers());
  directory->suspects_ = replica.Suspects();
  for (schema::Route& route : replica.Routes()) {
    std::string path = route.path();
    directory->routes_.emplace(std::move(path), std::move(route));
  }
  for (const common::BackendServerId& id : replica.Draining()) {
    directory->draining_.insert(id.value());
  }
  directory->draining_domains_ = replica.DrainingDomains();
  return directory;
}

const schema::Customer* Directory::FindCustomer(const std::string& id) const {
  return Find(customers_, id);
}

const schema::RequestClass* Directory::FindClass(const std::string& id) const {
  return Find(classes_, id);
}

const schema::Route* Directory::FindRoute(const std::string& path) const {
  return Find(routes_, path);
}

const schema::SuspectRow* Directory::FindSuspect(const std::string& row_id) const {
  return Find(suspects_, row_id);
}

const schema::BackendServer* Directory::FindBackend(const std::string& id) const {
  return Find(backends_, id);
}

const schema::Model* Directory::FindModel(const std::string& name, std::string& adapter) const {
  adapter.clear();
  if (const schema::Model* model = Find(models_, name)) return model;
  const std::size_t colon = name.rfind(':');
  if (colon == std::string::npos) return nullptr;
  const schema::Model* model = Find(models_, name.substr(0, colon));
  if (model == nullptr) return nullptr;
  const std::string adapter_name = name.substr(colon + 1);
  const bool known = std::find(model->adapters().begin(), model->adapters().end(), adapter_name) !=
                     model->adapters().end();
  if (!known) return nullptr;
  adapter = adapter_name;
  return model;
}

}  // namespace briarwood::entry::impl
