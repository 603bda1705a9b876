#pragma once

namespace fireflyrun::membership {

/// Which of the messages waiting to be sent go first when the byte budget runs short.
enum class Lane {
  kUrgent,  ///< Pings and what answers them: small, sent in any case.
  kNews,    ///< What is heard for the first time.
  kBulk,    ///< Anti-entropy, transfers, reports; leaves part of the budget to news.
};

}  // namespace fireflyrun::membership
