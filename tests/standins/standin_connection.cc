#include "tests/standins/standin_connection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <sstream>
#include <utility>

namespace fireflyrun::standins {

StandinConnection::StandinConnection(asio::ip::tcp::socket accepted_socket,
                                     RequestHook request_hook)
    : socket(std::move(accepted_socket)), on_request(std::move(request_hook)) {
  http_parser_init(&this->parser, HTTP_REQUEST);
  this->parser.data = this;
}

void StandinConnection::Start() { this->Read(); }

void StandinConnection::Read() {
  static const http_parser_settings parser_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &StandinConnection::OnMessageBegin;
    settings.on_url = &StandinConnection::OnUrl;
    settings.on_body = &StandinConnection::OnBody;
    settings.on_message_complete = &StandinConnection::OnMessageComplete;
    return settings;
  }();
  this->socket.async_read_some(
      asio::buffer(this->input),
      [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (self->closed) return;
        const std::size_t parsed =
            error ? 0
                  : http_parser_execute(&self->parser, &parser_settings, self->input.data(), size);
        if (error || parsed != size) {
          self->Close();
          return;
        }
        if (!self->closed) self->Read();
      });
}

int StandinConnection::OnMessageBegin(http_parser* parser) {
  static_cast<StandinConnection*>(parser->data)->request = Request();
  return 0;
}

int StandinConnection::OnUrl(http_parser* parser, const char* data, std::size_t size) {
  static_cast<StandinConnection*>(parser->data)->request.target.append(data, size);
  return 0;
}

int StandinConnection::OnBody(http_parser* parser, const char* data, std::size_t size) {
  static_cast<StandinConnection*>(parser->data)->request.body.append(data, size);
  return 0;
}

int StandinConnection::OnMessageComplete(http_parser* parser) {
  auto* self = static_cast<StandinConnection*>(parser->data);
  self->request.method = http_method_str(static_cast<http_method>(parser->method));
  self->on_request(self->shared_from_this(), self->request);
  return 0;
}

void StandinConnection::Respond(int status, const std::string& body,
                                const std::string& header_lines) {
  std::ostringstream text;
  text << "HTTP/1.1 " << status
       << " Status\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n"
       << header_lines << "\r\n"
       << body;
  this->Write(text.str());
}

void StandinConnection::StartStream() {
  this->Write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void StandinConnection::SendLine(const std::string& line) {
  std::ostringstream text;
  text << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
  this->Write(text.str());
}

void StandinConnection::Write(std::string text) {
  if (this->closed || this->silent) return;
  this->output.push_back(std::move(text));
  if (this->output.size() == 1) this->WriteNext();
}

void StandinConnection::WriteNext() {
  asio::async_write(
      this->socket, asio::buffer(this->output.front()),
      [self = this->shared_from_this()](const asio::error_code& error, std::size_t /*size*/) {
        if (self->closed) return;
        if (error) {
          self->Close();
          return;
        }
        self->output.pop_front();
        if (!self->output.empty()) self->WriteNext();
      });
}

void StandinConnection::Close() {
  if (this->closed) return;
  this->closed = true;
  asio::error_code ignored;
  this->socket.close(ignored);
  if (const auto hook = std::exchange(this->close_hook, nullptr)) hook();
}

}  // namespace fireflyrun::standins
