#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http/client_error.h"
#include "http/client_request.h"
#include "http/response.h"

namespace fireflyrun::http {

/// One request in progress on one libcurl easy handle, with what has arrived of its response.
class Transfer {
 public:
  using Handler = std::function<void(tl::expected<Response, ClientError>)>;
  using ChunkHandler = std::function<void(std::string_view)>;
  using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

  /// `on_chunk` may be empty; the body is then collected.
  Transfer(std::uint64_t request_id, ClientRequest request_to_send, Handler end_handler,
           ChunkHandler chunk_handler);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// A handle with the options that all requests share.
  static EasyHandle MakeHandle();

  /// Checks the request and sets its options on the handle; the error says what is malformed.
  tl::expected<void, ClientError> Prepare(EasyHandle easy_handle);

  /// The result, once libcurl has ended the transfer with `code`.
  tl::expected<Response, ClientError> Finish(CURLcode code);

  /// Gives the handle back for another request.
  EasyHandle ReleaseHandle();

  /// Hands the body that arrived since the last call to the chunk handler.
  void DeliverChunk();

  CURL* Easy() const { return this->handle.get(); }
  std::uint64_t Id() const { return this->id; }
  bool Streams() const { return this->on_chunk != nullptr; }
  bool HasChunk() const { return !this->chunk.empty(); }
  Handler TakeHandler() { return std::move(this->on_end); }

 private:
  static int OnConnectionReady(void* transfer, char*, char*, int, int);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* transfer);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* transfer);

  tl::expected<void, ClientError> CheckRequest() const;
  void SetMethodAndBody();
  void SetHeaders();
  void SetLimits();
  void AppendHeader(const std::string& line);
  void ReadHeaderLine(std::string_view line);
  bool ReadBody(std::string_view piece);
  bool IsComplete() const;
  bool BodyLengthIsKnown() const;
  ClientErrorKind KindOf(CURLcode code) const;

  std::uint64_t id;
  ClientRequest request;
  Handler on_end;
  ChunkHandler on_chunk;
  EasyHandle handle;
  curl_slist* header_list = nullptr;
  Response response;
  std::string chunk;
  char error_text[CURL_ERROR_SIZE] = {};
  bool connection_made = false;
  bool head_complete = false;
  bool too_large = false;
};

}  // namespace fireflyrun::http
