#pragma once

#include <http_parser.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace fireflyrun::standins {

/// One accepted HTTP connection of a stand-in, with the freedom to misbehave that server libraries
/// do not give: closing without an answer, and staying silent.
class StandinConnection : public std::enable_shared_from_this<StandinConnection> {
 public:
  struct Request {
    std::string method;
    std::string target;
    std::string body;
  };
  using RequestHook = std::function<void(std::shared_ptr<StandinConnection>, Request)>;

  StandinConnection(asio::ip::tcp::socket accepted_socket, RequestHook request_hook);
  ~StandinConnection() = default;
  StandinConnection(const StandinConnection&) = delete;
  StandinConnection& operator=(const StandinConnection&) = delete;

  void Start();
  /// Answers the request that was handed over last. `header_lines` end with a line break each.
  void Respond(int status, const std::string& body, const std::string& header_lines = "");
  /// Starts an answer without an end; SendLine() adds to it.
  void StartStream();
  void SendLine(const std::string& line);
  /// Drops whatever is to be sent from now on, while the connection stays open.
  void FallSilent() { this->silent = true; }
  void Close();
  bool IsClosed() const { return this->closed; }
  /// Runs once when either end closes.
  void OnClose(std::function<void()> hook) { this->close_hook = std::move(hook); }

 private:
  void Read();
  void Write(std::string text);
  void WriteNext();
  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageBegin(http_parser* parser);
  static int OnMessageComplete(http_parser* parser);

  asio::ip::tcp::socket socket;
  RequestHook on_request;
  std::function<void()> close_hook;
  http_parser parser{};
  Request request;
  std::array<char, 16384> input{};
  std::deque<std::string> output;
  bool silent = false;
  bool closed = false;
};

}  // namespace fireflyrun::standins
