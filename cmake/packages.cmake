if(MUSTARDLINE_TESTS)
  include(GoogleTest)
endif()

# Declares a library package: mustardline_library(NAME SOURCES a.cpp b.cpp LINK other).
function(mustardline_library name)
  if(NOT MUSTARDLINE_TESTS AND name MATCHES "_testing$")
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC mustardline_options ${ARG_LINK})
endfunction()

# Declares a GoogleTest program whose cases ctest runs one by one under one label
# (unit, golden, promise, e2e or bench), with further ctest PROPERTIES if given.
function(mustardline_test name)
  if(NOT MUSTARDLINE_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "SOURCES;LINK;PROPERTIES" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE mustardline_options GTest::gtest_main GTest::gmock ${ARG_LINK})
  target_compile_definitions(${name} PRIVATE MUSTARDLINE_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    MUSTARDLINE_BINARY_DIR="${PROJECT_BINARY_DIR}")
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST NO_PRETTY_VALUES
    PROPERTIES LABELS ${ARG_LABEL} TIMEOUT ${ARG_TIMEOUT} ${ARG_PROPERTIES})
endfunction()
