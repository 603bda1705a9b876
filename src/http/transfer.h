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
  /// Whether the connection with this local port holds bytes that were not read.
  using UnreadBytesHook = std::function<bool(int local_port)>;

  /// `on_chunk` may be empty; the body is then collected.
  Transfer(std::uint64_t request_id, ClientRequest request_to_send, Handler end_handler,
           ChunkHandler chunk_handler, UnreadBytesHook unread_bytes_hook);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// A handle with the options that all requests share.
  static EasyHandle MakeHandle();

  /// Checks the request and sets its options on the handle; the error says what is malformed.
  tl::expected<void, ClientError> Prepare(EasyHandle easy_handle);

  /// The result, once libcurl has ended the transfer with `code`.
  tl::expected<Response, ClientError> Finish(CURLcode code);

  /// True for an ended transfer whose kept connection held bytes before the request was sent: a
  /// further copy of an earlier response, which would pass for the next one. Nothing was sent.
  bool NeedsNewConnection() const {
    return this->found_unread_bytes && !this->request.fresh_connection;
  }

  /// Makes such a transfer ready to run on a connection of its own.
  void PrepareForNewConnection();

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
  /// False when the heads are too large together, or the line is no proper status line.
  bool ReadHeaderLine(std::string_view line);
  bool ReadBody(std::string_view piece);
  bool IsComplete() const;
  bool BodyLengthIsKnown() const;
  ClientErrorKind KindOf(CURLcode code) const;

  std::uint64_t id;
  ClientRequest request;
  Handler on_end;
  ChunkHandler on_chunk;
  UnreadBytesHook has_unread_bytes;
  EasyHandle handle;
  curl_slist* header_list = nullptr;
  Response response;
  std::string chunk;
  char error_text[CURL_ERROR_SIZE] = {};
  bool connection_made = false;
  bool found_unread_bytes = false;
  std::size_t head_bytes = 0;
  bool head_complete = false;
  bool too_large = false;
  bool malformed = false;
};

}  // namespace fireflyrun::http
