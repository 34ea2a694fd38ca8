# Installs the two binaries and the embeddable library with a package file for find_package(rattanroad).
include(CMakePackageConfigHelpers)

get_property(modules GLOBAL PROPERTY RATTANROAD_MODULES)
list(REMOVE_ITEM modules rattanroad_network)
install(TARGETS ${modules} EXPORT rattanroadTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
foreach(module IN LISTS modules)
  install(DIRECTORY modules/${module} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
endforeach()
install(EXPORT rattanroadTargets NAMESPACE rattanroad:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rattanroad)
configure_package_config_file(cmake/rattanroadConfig.cmake.in ${CMAKE_BINARY_DIR}/rattanroadConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rattanroad)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/rattanroadConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/rattanroadConfig.cmake ${CMAKE_BINARY_DIR}/rattanroadConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rattanroad)
