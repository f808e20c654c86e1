# Shared helpers: each folder's CMakeLists.txt names its sources and what it links to, no more.

# fennelline_library(NAME SOURCES ... LINKS ...): a static library.
function(fennelline_library aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${aName} STATIC ${ARG_SOURCES})
  target_link_libraries(${aName} PUBLIC ${ARG_LINKS})
endfunction()

# fennelline_program(NAME SOURCES ... LINKS ...): a program in Build/bin.
function(fennelline_program aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES})
  target_link_libraries(${aName} PRIVATE ${ARG_LINKS})
  set_target_properties(${aName} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# fennelline_test(NAME SOURCES ... LINKS ... LABELS ... TIMEOUT seconds): a doctest program run by ctest.
function(fennelline_test aName)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINKS;LABELS" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/Tests/Main.cpp)
  target_link_libraries(${aName} PRIVATE ${ARG_LINKS})
  set_target_properties(${aName} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${aName} COMMAND ${aName} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  set_tests_properties(${aName} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()
