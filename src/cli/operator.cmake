# The operators' subcommands; included by CMakeLists.txt of this folder.
fireflyrun_library(fireflyrun_operator
  SOURCES apply_command.cc check_command.cc fleet_client.cc fleet_report.cc get_command.cc
          operator_options.cc operator_output.cc operator_session.cc record_file.cc
          retire_command.cc status_command.cc wait_in_force.cc
  DEPENDS fireflyrun_common fireflyrun_http fireflyrun_records fireflyrun_store)
