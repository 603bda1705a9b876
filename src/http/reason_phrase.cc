#include "http/reason_phrase.h"

#include <http_parser.h>

namespace fireflyrun::http {

std::string_view ReasonPhrase(int status) {
  switch (status) {
#define FIREFLYRUN_PHRASE(number, name, phrase) \
  case number:                                  \
    return #phrase;
    HTTP_STATUS_MAP(FIREFLYRUN_PHRASE)
#undef FIREFLYRUN_PHRASE
    default:
      return {};
  }
}

}  // namespace fireflyrun::http
