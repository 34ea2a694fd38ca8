# Model checking, and one build of the ledger per removed guard, which the seeded test must reject.
add_test(NAME model COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-model.sh)
add_test(NAME model_mutations COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-model.sh --mutations)
set_tests_properties(model model_mutations PROPERTIES TIMEOUT 120)

file(GLOB ledger_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/modules/rattanroad_ledger/ledger/*.cpp)
add_library(ledger_seeded OBJECT ledger/SimulatedFleet.cpp ledger/SimulatedFaults.cpp ledger/SeededTests.cpp)
# The rarest case, records of an earlier epoch, needed 2534 seeds when it was measured.
target_compile_definitions(ledger_seeded PRIVATE RATTANROAD_LEDGER_SEEDS=15000)
target_link_libraries(ledger_seeded PUBLIC catch_main rattanroad_protocol)

# Passes only if the seeded test reports a broken guarantee, not merely a decision that stays open.
function(rattanroad_add_ledger_mutation guard)
  set(program test_ledger_without_guard_${guard})
  add_executable(${program} $<TARGET_OBJECTS:ledger_seeded> ${ledger_sources})
  target_compile_definitions(${program} PRIVATE RATTANROAD_LEDGER_REMOVED_GUARD=${guard})
  target_link_libraries(${program} PRIVATE catch_main rattanroad_protocol)
  # One translation unit: the module is built once per guard.
  set_target_properties(${program} PROPERTIES UNITY_BUILD ON UNITY_BUILD_BATCH_SIZE 0)
  add_test(NAME ledger_without_guard_${guard} COMMAND ${program} [seeded])
  set_tests_properties(ledger_without_guard_${guard} PROPERTIES TIMEOUT 120
    PASS_REGULAR_EXPRESSION "VIOLATION (second start|start after|.not run. answered|two processes own)")
endfunction()

# The numbers of Guard in LedgerGuards.h.
foreach(guard RANGE 1 12)
  rattanroad_add_ledger_mutation(${guard})
endforeach()
