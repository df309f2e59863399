// Lets CMake build a library folder that has only headers.
