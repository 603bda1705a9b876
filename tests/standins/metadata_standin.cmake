fireflyrun_library(metadata_standin
  SOURCES metadata_model.cc metadata_standin.cc
  DEPENDS fireflyrun_store store_standin_core)
target_include_directories(metadata_standin PUBLIC ${CMAKE_SOURCE_DIR})
