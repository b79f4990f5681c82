# Prints the instructions that one more item costs a program in each mode, and fails if one is over
# its bound. Run with -DPROGRAM=... -DVALGRIND=... -DMODES="requests=350000;chunks=2450".
# The program takes a mode and a count; what it costs to start cancels out between two counts.
set(small_count 200)
set(large_count 1200)
math(EXPR items "${large_count} - ${small_count}")

function(count_instructions out mode count)
  execute_process(
    COMMAND ${VALGRIND} --tool=callgrind --callgrind-out-file=/dev/null ${PROGRAM} ${mode} ${count}
    RESULT_VARIABLE status ERROR_VARIABLE text)
  if(NOT status EQUAL 0 OR NOT text MATCHES "Collected : ([0-9]+)")
    message(FATAL_ERROR "callgrind failed: ${text}")
  endif()
  set(${out} ${CMAKE_MATCH_1} PARENT_SCOPE)
endfunction()

foreach(rule ${MODES})
  string(REPLACE "=" ";" parts ${rule})
  list(GET parts 0 mode)
  list(GET parts 1 bound)
  count_instructions(small ${mode} ${small_count})
  count_instructions(large ${mode} ${large_count})
  math(EXPR slope "(${large} - ${small}) / ${items}")
  message("${mode}: ${slope} instructions each (${small_count} to ${large_count}), bound ${bound}")
  if(slope GREATER bound)
    message(FATAL_ERROR "${mode} cost more than their bound")
  endif()
endforeach()
