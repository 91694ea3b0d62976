# marjoramslip_library(NAME DEPS...): a static library of lib/NAME/*.cc and the
# folders below.
function(marjoramslip_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/lib/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/lib/${name}/*/*.cc)
  add_library(marjoramslip_${name} STATIC ${sources})
  # Files of the folders below include those beside the library by their names.
  target_include_directories(marjoramslip_${name} PRIVATE
                             ${CMAKE_SOURCE_DIR}/lib/${name})
  target_include_directories(marjoramslip_${name} PUBLIC
                             ${CMAKE_SOURCE_DIR}/include)
  target_link_libraries(marjoramslip_${name} PUBLIC ${ARGN})
endfunction()

# marjoramslip_tool(NAME DEPS...): a program of tools/NAME/*.cc and the folders below.
function(marjoramslip_tool name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tools/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/tools/${name}/*/*.cc)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tools/${name})
  target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
endfunction()

# marjoramslip_unittest(NAME DEPS...): a Criterion program of
# unittests/NAME/*.cc that ctest runs.
function(marjoramslip_unittest name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/unittests/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_tests ${sources})
  target_include_directories(${name}_tests PRIVATE
                             ${CMAKE_SOURCE_DIR}/lib/${name}
                             ${CMAKE_SOURCE_DIR}/unittests)
  target_link_libraries(${name}_tests PRIVATE ${ARGN} criterion_lib
                        Threads::Threads)
  add_test(NAME ${name} COMMAND ${name}_tests --tap=-)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300
                       ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
