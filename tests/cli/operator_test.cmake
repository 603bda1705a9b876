# Included by CMakeLists.txt of this folder.
fireflyrun_test(operator_test
  SOURCES operator_commands_test.cc
  DEPENDS fireflyrun_operator store_standin_core)
