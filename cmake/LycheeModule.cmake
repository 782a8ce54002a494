# lychee_module(NAME SOURCES ... DEPENDS ...) adds the static library of one
# module; its public header is included as "NAME/Name.h".
function(lychee_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(lychee_${name} STATIC ${ARG_SOURCES})
  target_include_directories(lychee_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(lychee_${name} PRIVATE -Wall -Wextra)
  target_link_libraries(lychee_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# lychee_test(NAME SOURCES ... DEPENDS ... TIMEOUT s) adds one Boost.Test
# program and registers it with ctest; it does nothing when LYCHEETHREAD_TESTS
# is off. TIMEOUT is in seconds, default 60. The test cases may be spread over
# several sources.
function(lychee_test name)
  if(NOT LYCHEETHREAD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;ARGS;DEFINITIONS;PROGRAMS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE -Wall -Wextra)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK ${ARG_DEFINITIONS})
  if(ARG_PROGRAMS)
    add_dependencies(${name} ${ARG_PROGRAMS})
  endif()
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name} ${ARG_ARGS})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
