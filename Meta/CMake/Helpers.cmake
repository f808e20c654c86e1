# Shared helpers, so that each directory's CMakeLists.txt lists only sources and link libraries.

# fennelline_library(NAME SOURCES ... LINKS ...): adds a static library.
function(fennelline_library aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${aName} STATIC ${ARG_SOURCES})
  target_link_libraries(${aName} PUBLIC ${ARG_LINKS})
endfunction()

# fennelline_program(NAME SOURCES ... LINKS ...): adds an executable in ${CMAKE_BINARY_DIR}/bin.
function(fennelline_program aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES})
  target_link_libraries(${aName} PRIVATE ${ARG_LINKS})
  set_target_properties(${aName} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# fennelline_test(NAME SOURCES ... LINKS ... LABELS ... TIMEOUT SECONDS ARGUMENTS ...): adds a doctest executable and
# registers it with ctest. It runs in the source directory. The default timeout is 60 s.
function(fennelline_test aName)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINKS;LABELS;ARGUMENTS" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/Tests/Main.cpp)
  target_link_libraries(${aName} PRIVATE ${ARG_LINKS})
  set_target_properties(${aName} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${aName} COMMAND ${aName} ${ARG_ARGUMENTS} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  set_tests_properties(${aName} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()
