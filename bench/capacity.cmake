add_executable(capacity_bench
  capacity_bench.cc capacity_fit.cc capacity_fleet.cc capacity_samples.cc)
target_include_directories(capacity_bench PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(capacity_bench PRIVATE integration_harness)
add_executable(capacity_parts_bench
  capacity_parts_bench.cc capacity_fit.cc capacity_samples.cc)
target_include_directories(capacity_parts_bench PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(capacity_parts_bench PRIVATE
  fireflyrun_membership fireflyrun_peer fireflyrun_policy nlohmann_json::nlohmann_json)
