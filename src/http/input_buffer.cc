#include "http/input_buffer.h"

#include <algorithm>

namespace fireflyrun::http {

asio::mutable_buffer InputBuffer::Prepare(std::size_t capacity) {
  const std::string_view kept = this->Data();
  const std::size_t wanted = std::max(capacity, kept.size() + capacity / 2);
  if (this->bytes.size() < wanted || (kept.empty() && this->bytes.size() > capacity)) {
    std::vector<char> resized(wanted);
    std::copy(kept.begin(), kept.end(), resized.begin());
    this->bytes.swap(resized);
  } else if (this->begin > 0) {
    std::copy(kept.begin(), kept.end(), this->bytes.begin());
  }
  this->end -= this->begin;
  this->begin = 0;
  return asio::buffer(this->bytes.data() + this->end, this->bytes.size() - this->end);
}

}  // namespace fireflyrun::http
