# Third-party libraries, all from Debian packages (scripts/install lists them).
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log log_setup)
find_package(Protobuf 3.21 REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
if(FIREFLYRUN_TESTS)
  find_package(GTest REQUIRED)
endif()
find_package(PkgConfig REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)

add_library(fireflyrun_asio INTERFACE)
# Asio 1.22 detects std::aligned_alloc by which standard header came first, so files would disagree on
# how its memory is freed.
target_compile_definitions(fireflyrun_asio INTERFACE ASIO_STANDALONE ASIO_HAS_STD_ALIGNED_ALLOC)
target_link_libraries(fireflyrun_asio INTERFACE Threads::Threads)

add_library(fireflyrun_boost_log INTERFACE)
target_compile_definitions(fireflyrun_boost_log INTERFACE BOOST_LOG_DYN_LINK)
target_link_libraries(fireflyrun_boost_log INTERFACE Boost::log Boost::log_setup)
