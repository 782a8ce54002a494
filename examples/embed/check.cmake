# cmake -DPROGRAM=... -DDOCUMENTS=a;b -DEXPECTED=... -P check.cmake: runs the
# example and compares its whole output with the expected output.
execute_process(COMMAND ${PROGRAM} ${DOCUMENTS}
                OUTPUT_VARIABLE Output ERROR_VARIABLE Errors
                RESULT_VARIABLE Result)
file(READ ${EXPECTED} Expected)
if(NOT Result EQUAL 0 OR NOT Output STREQUAL Expected OR NOT Errors STREQUAL "")
  message(FATAL_ERROR "exit ${Result}, printed:\n${Output}${Errors}\n"
                      "expected:\n${Expected}")
endif()
