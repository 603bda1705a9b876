#include "tests/integration/http_call.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace fireflyrun::integration {
namespace {

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* answer) {
  static_cast<HttpAnswer*>(answer)->body.append(data, size * count);
  return size * count;
}

std::size_t AddHeader(char* data, std::size_t size, std::size_t count, void* answer) {
  const std::string line(data, size * count);
  const auto colon = line.find(": ");
  if (colon == std::string::npos) return size * count;
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return tolower(c); });
  const auto end = line.find_last_not_of("\r\n");
  static_cast<HttpAnswer*>(answer)->headers[name] = line.substr(colon + 2, end - colon - 1);
  return size * count;
}

}  // namespace

std::string HttpAnswer::Header(const std::string& lower_case_name) const {
  const auto found = this->headers.find(lower_case_name);
  return found == this->headers.end() ? "" : found->second;
}

struct CallSession::Handle {
  Handle() = default;
  ~Handle() { curl_easy_cleanup(this->easy); }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;

  CURL* easy = curl_easy_init();
};

CallSession::CallSession() : handle(std::make_unique<Handle>()) {}

CallSession::~CallSession() = default;

HttpAnswer CallSession::Make(const HttpCall& call) {
  HttpAnswer answer;
  CURL* const easy = this->handle->easy;
  curl_easy_reset(easy);  // Keeps the connection.
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const auto& header : call.headers) headers = curl_slist_append(headers, header.c_str());
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, AddHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
  }
  const CURLcode code = curl_easy_perform(easy);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) {
    answer.error = curl_easy_strerror(code);
    return answer;
  }
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  answer.status = static_cast<int>(status);
  return answer;
}

HttpAnswer MakeCall(const HttpCall& call) { return CallSession().Make(call); }

HttpAnswer Get(const std::string& url) {
  HttpCall call;
  call.url = url;
  return MakeCall(call);
}

}  // namespace fireflyrun::integration
