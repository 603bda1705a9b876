add_executable(target_standin
  target_standin.cc target_standin_announcer.cc target_standin_options.cc target_standin_run_log.cc
  target_standin_service.cc)
add_executable(caller_standin
  caller_standin.cc caller_standin_load.cc caller_standin_mix.cc caller_standin_options.cc
  caller_standin_results.cc)
foreach(standin target_standin caller_standin)
  target_include_directories(${standin} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${standin} PRIVATE fireflyrun_http Boost::headers)
endforeach()
