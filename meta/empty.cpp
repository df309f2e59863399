// A source file for libraries that otherwise have only headers, since CMake's static libraries need at least one.
