# Prints the instructions of the agent's own code for one more request and one more streamed event,
# and fails if one is over its bound. Run with -DPROGRAM=... -DVALGRIND=...
set(requests_bound 350000)
set(chunks_bound 2450)

function(count_instructions out mode count)
  execute_process(
    COMMAND ${VALGRIND} --tool=callgrind --callgrind-out-file=/dev/null ${PROGRAM} ${mode} ${count}
    RESULT_VARIABLE status ERROR_VARIABLE text)
  if(NOT status EQUAL 0 OR NOT text MATCHES "Collected : ([0-9]+)")
    message(FATAL_ERROR "callgrind failed: ${text}")
  endif()
  set(${out} ${CMAKE_MATCH_1} PARENT_SCOPE)
endfunction()

foreach(mode requests chunks)
  count_instructions(small ${mode} 200)
  count_instructions(large ${mode} 1200)
  math(EXPR slope "(${large} - ${small}) / 1000")
  message("${mode}: ${slope} instructions each (200 to 1200), bound ${${mode}_bound}")
  if(slope GREATER ${mode}_bound)
    message(FATAL_ERROR "${mode} cost more than their bound")
  endif()
endforeach()
execute_process(COMMAND ${PROGRAM} memory COMMAND_ERROR_IS_FATAL ANY)
