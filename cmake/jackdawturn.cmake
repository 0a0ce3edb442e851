# jackdawturn_library(NAME [SEPARATE] DEPENDS ...): a static library of every
# source file in the folder of that name. SEPARATE is for folders that cannot be
# compiled as one: their sources use the same names in unnamed namespaces, or
# GCC 12 reports false positives of maybe-uninitialized for std::variant.
function(jackdawturn_library name)
  cmake_parse_arguments(ARG "SEPARATE" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/libraries)
  target_link_libraries(${name} PUBLIC boost_sources ${ARG_DEPENDS})
  if(ARG_SEPARATE)
    set_target_properties(${name} PROPERTIES UNITY_BUILD OFF)
  endif()
  jackdawturn_lint_combined_sources(${name})
endfunction()

# Tells clang-tidy that a generated unit of several sources includes them on
# purpose.
function(jackdawturn_lint_combined_sources target)
  set_target_properties(${target} PROPERTIES UNITY_BUILD_CODE_BEFORE_INCLUDE
    "// NOLINTNEXTLINE(bugprone-suspicious-include)")
endfunction()

# Registers test_NAME. Its suites full_rings form a test of their own, because
# KNOWN-RED.txt lists them and .ci/run passes over them under AddressSanitizer.
function(jackdawturn_register_test name)
  if(name STREQUAL "runtime")
    add_test(NAME runtime COMMAND test_runtime --jobs 2 --filter "!(full_rings)/*")
    add_test(NAME full_rings COMMAND test_runtime --jobs 2 --filter "full_rings/*")
    set_tests_properties(full_rings PROPERTIES TIMEOUT 900)
  else()
    add_test(NAME ${name} COMMAND test_${name} --jobs 2)
  endif()
  # Ends a test that hangs; far beyond the time of any test.
  set_tests_properties(${name} PROPERTIES TIMEOUT 900)
endfunction()

# tests/NAME/*.cc make the Criterion program test_NAME, except that each
# tests/NAME/invariants_*.cc makes a program of its own that prints the lines of
# `make check-invariants`. tests/support holds sources that all of them may use.
function(jackdawturn_add_tests)
  file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true ${CMAKE_SOURCE_DIR}/tests/*)
  set(all_libraries "")
  foreach(name core http rate_limits charts sessions routing requests failover fleet targets
          settings observe standins ports port_fakes standin_servers proxy
        runtime gateway record_feed platform soak)
    if(TARGET ${name})
      list(APPEND all_libraries ${name})
    endif()
  endforeach()
  file(GLOB support_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/support/*.cc)
  add_library(test_support INTERFACE)
  target_include_directories(test_support INTERFACE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(test_support INTERFACE ${all_libraries})
  add_library(test_support_sources STATIC ${support_sources})
  set_target_properties(test_support_sources PROPERTIES UNITY_BUILD OFF)
  # Every test program that does not start the binary.
  add_custom_target(unit_tests)
  target_link_libraries(test_support_sources PUBLIC test_support)
  set_source_files_properties(${CMAKE_SOURCE_DIR}/tests/support/source_paths.cc
    PROPERTIES COMPILE_DEFINITIONS
    "JACKDAWTURN_SOURCE_FOLDER=\"${CMAKE_SOURCE_DIR}\";JACKDAWTURN_BINARY=\"${CMAKE_BINARY_DIR}/jackdawturn\"")
  foreach(folder ${folders})
    get_filename_component(name ${folder} NAME)
    if(NOT IS_DIRECTORY ${folder} OR name STREQUAL "support")
      continue()
    endif()
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
    file(GLOB invariants CONFIGURE_DEPENDS ${folder}/invariants_*.cc)
    foreach(source ${invariants})
      list(REMOVE_ITEM sources ${source})
      get_filename_component(program ${source} NAME_WE)
      add_executable(${program} ${source})
      target_link_libraries(${program} PRIVATE test_support_sources)
      set_target_properties(${program} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/invariants)
    endforeach()
    if(sources)
      add_executable(test_${name} ${sources})
      target_link_libraries(test_${name} PRIVATE test_support_sources criterion)
      # Criterion's tables and the Boost headers they use warn about unused values.
      target_compile_options(test_${name} PRIVATE -Wno-unused-parameter -Wno-pedantic)
      jackdawturn_register_test(${name})
      if(name STREQUAL "programs")
        add_dependencies(test_programs jackdawturn)
      else()
        add_dependencies(unit_tests test_${name})
      endif()
      # These folders' sources use the same names in unnamed namespaces.
      if(name MATCHES "^(gateway|ports|programs|proxy|rate_limits|requests|runtime)$")
        set_target_properties(test_${name} PROPERTIES UNITY_BUILD OFF)
      endif()
    endif()
  endforeach()
endfunction()

# Each benchmarks/bench_*.cc makes a program that prints the lines of `make bench`.
function(jackdawturn_add_benchmarks)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/benchmarks/bench_*.cc)
  foreach(source ${sources})
    get_filename_component(program ${source} NAME_WE)
    add_executable(${program} ${source})
    target_link_libraries(${program} PRIVATE test_support_sources)
    set_target_properties(${program} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/benchmarks)
  endforeach()
endfunction()
