set(BRIARWOOD_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wconversion
    -Wold-style-cast -Wno-missing-field-initializers -Werror)

# Committed code generated from schema/*.proto by tools/generate_schema.sh.
function(briarwood_schema)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/generated/briarwood/schema/*.pb.cc)
  add_library(briarwood_schema STATIC ${sources})
  target_include_directories(briarwood_schema SYSTEM PUBLIC ${PROJECT_SOURCE_DIR}/generated
                             ${PROJECT_SOURCE_DIR}/generated/briarwood/schema)
  target_link_libraries(briarwood_schema PUBLIC protobuf::libprotobuf)
  set_property(GLOBAL APPEND PROPERTY BRIARWOOD_MODULES briarwood_schema)
endfunction()

# briarwood_module(<name> [STANDARD <year>] [DEPENDS <targets>...]): library of the sources below src/<name>.
function(briarwood_module name)
  cmake_parse_arguments(arg "" "STANDARD" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  set(target briarwood_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(${target} PRIVATE ${BRIARWOOD_WARNINGS})
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  if(arg_STANDARD)
    set_target_properties(${target} PROPERTIES CXX_STANDARD ${arg_STANDARD})
    target_compile_options(${target} PRIVATE -Wno-deprecated)
  endif()
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/include
                             ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${target} ${scope} briarwood_schema ${arg_DEPENDS} Threads::Threads)
  set_property(GLOBAL APPEND PROPERTY BRIARWOOD_MODULES ${target})
endfunction()

function(briarwood_library)
  get_property(modules GLOBAL PROPERTY BRIARWOOD_MODULES)
  add_library(briarwood INTERFACE)
  target_link_libraries(briarwood INTERFACE ${modules})
  add_library(briarwood::briarwood ALIAS briarwood)
endfunction()

# One program per folder of programs/: programs/<name>/*.cc.
function(briarwood_programs)
  file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/programs/*)
  foreach(folder ${folders})
    get_filename_component(name ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
    if(sources)
      add_executable(${name} ${sources})
      target_compile_options(${name} PRIVATE ${BRIARWOOD_WARNINGS})
      target_compile_definitions(${name} PRIVATE BRIARWOOD_VERSION="${PROJECT_VERSION}")
      target_link_libraries(${name} PRIVATE briarwood Boost::program_options)
    endif()
  endforeach()
endfunction()

# Adapter to the platform of the users: a library of platform/*.cc and one program per *_main.cc.
function(briarwood_platform)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cc)
  file(GLOB mains CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*_main.cc)
  list(REMOVE_ITEM sources ${mains})
  add_library(briarwood_platform STATIC ${sources})
  target_compile_options(briarwood_platform PRIVATE ${BRIARWOOD_WARNINGS})
  target_include_directories(briarwood_platform PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(briarwood_platform PUBLIC briarwood jsoncpp)
  foreach(main ${mains})
    get_filename_component(name ${main} NAME_WE)
    string(REPLACE "_main" "" name ${name})
    add_executable(briarwood-platform-${name} ${main})
    target_compile_options(briarwood-platform-${name} PRIVATE ${BRIARWOOD_WARNINGS})
    target_compile_definitions(briarwood-platform-${name} PRIVATE
      BRIARWOOD_VERSION="${PROJECT_VERSION}")
    target_link_libraries(briarwood-platform-${name} PRIVATE briarwood_platform
      Boost::program_options)
  endforeach()
endfunction()

# Soak test that injects faults into the real programs: a library of soak/*.cc, its program, and
# short runs as tests.
function(briarwood_soak)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/soak/*.cc)
  set(main ${PROJECT_SOURCE_DIR}/soak/soak_main.cc)
  list(REMOVE_ITEM sources ${main})
  add_library(briarwood_soak STATIC ${sources})
  target_compile_options(briarwood_soak PRIVATE ${BRIARWOOD_WARNINGS})
  target_link_libraries(briarwood_soak PUBLIC briarwood_platform)
  add_executable(briarwood-soak ${main})
  target_compile_options(briarwood-soak PRIVATE ${BRIARWOOD_WARNINGS})
  target_link_libraries(briarwood-soak PRIVATE briarwood_soak Boost::program_options)
  # Seeds of previous failures, with the cause of each, and one more.
  file(STRINGS ${PROJECT_SOURCE_DIR}/soak/seeds.txt seeds REGEX "^[0-9]+")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
               ${PROJECT_SOURCE_DIR}/soak/seeds.txt)
  foreach(line ${seeds})
    string(REGEX MATCH "^[0-9]+" seed "${line}")
    add_test(NAME Soak.Seed${seed}
             COMMAND briarwood-soak --programs ${PROJECT_BINARY_DIR}
                     --templates ${PROJECT_SOURCE_DIR}/platform
                     --folder ${PROJECT_BINARY_DIR}/soak --seed ${seed} --faults-seconds 12
                     --calm-seconds 4)
    set_tests_properties(Soak.Seed${seed} PROPERTIES TIMEOUT 120)
  endforeach()
  add_test(NAME Soak.CrashOnPart
           COMMAND briarwood-soak --programs ${PROJECT_BINARY_DIR}
                   --templates ${PROJECT_SOURCE_DIR}/platform
                   --folder ${PROJECT_BINARY_DIR}/soak/crash-on-part --seed 1 --crash-on-part
                   --faults-seconds 25 --calm-seconds 4)
  set_tests_properties(Soak.CrashOnPart PROPERTIES TIMEOUT 180)
  add_test(NAME Soak.ReplacedMembers
           COMMAND briarwood-soak --programs ${PROJECT_BINARY_DIR}
                   --templates ${PROJECT_SOURCE_DIR}/platform
                   --folder ${PROJECT_BINARY_DIR}/soak/replaced-members --seed 31 --replace-members
                   --faults-seconds 45 --calm-seconds 4 --entries 8 --callers 8)
  set_tests_properties(Soak.ReplacedMembers PROPERTIES TIMEOUT 180)
endfunction()

# One test program per folder of tests/: tests/<module>/*_test.cc.
function(briarwood_tests)
  include(GoogleTest)
  file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*)
  foreach(folder ${folders})
    get_filename_component(name ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
    if(sources)
      set(target briarwood_${name}_test)
      add_executable(${target} ${sources})
      target_compile_options(${target} PRIVATE ${BRIARWOOD_WARNINGS})
      target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
      target_compile_definitions(${target} PRIVATE
        BRIARWOOD_SOURCE_DIR="${PROJECT_SOURCE_DIR}" BRIARWOOD_BINARY_DIR="${PROJECT_BINARY_DIR}")
      target_link_libraries(${target} PRIVATE briarwood_soak GTest::gmock GTest::gtest_main)
      gtest_discover_tests(${target} DISCOVERY_MODE PRE_TEST PROPERTIES TIMEOUT 120)
    endif()
  endforeach()
endfunction()

# One benchmark program per file of bench/.
function(briarwood_benchmarks)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/*.cc)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_compile_options(${name} PRIVATE ${BRIARWOOD_WARNINGS})
    target_link_libraries(${name} PRIVATE briarwood benchmark::benchmark)
  endforeach()
endfunction()
