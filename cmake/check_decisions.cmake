# Fails when the decision library refers to a clock, a socket, a thread, a
# random device or an I/O library.
execute_process(COMMAND ${NM} -uC ${LIBRARY} OUTPUT_VARIABLE Symbols
                RESULT_VARIABLE Status)
if(NOT Status EQUAL 0)
  message(FATAL_ERROR "${NM} failed on ${LIBRARY}")
endif()
string(REGEX MATCHALL
  "[^\n]* U (event_|evhttp_|evbuffer_|bufferevent_|nghttp2_|clock_gettime|gettimeofday|time$|socket$|connect$|pthread_create|std::random_device|std::chrono::_V2::(system|steady)_clock::now)[^\n]*"
  Forbidden "${Symbols}")
if(Forbidden)
  message(FATAL_ERROR "decisions must not use: ${Forbidden}")
endif()
