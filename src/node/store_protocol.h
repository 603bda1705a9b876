#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::node {

/// Protocol of the platform's key-value service.
enum class StoreProtocol {
  kEtcd,      ///< The etcd v3 JSON gateway; operators write records with `fireflyrun apply`.
  kPlatform,  ///< The users' platform; its operators write their own configuration there.
};

inline constexpr EnumNames kStoreProtocolNames(std::array{
    std::pair{StoreProtocol::kEtcd, std::string_view("etcd")},
    std::pair{StoreProtocol::kPlatform, std::string_view("platform")},
});

}  // namespace fireflyrun::node
