fireflyrun_library(store_standin_core
  SOURCES key_value_model.cc standin_connection.cc store_standin_server.cc
  DEPENDS fireflyrun_store http_parser)
target_include_directories(store_standin_core PUBLIC ${CMAKE_SOURCE_DIR})

add_executable(store_standin store_standin.cc)
target_link_libraries(store_standin PRIVATE store_standin_core)
