package main

import "testing"

// TestSmallInstancesKeepRoomForTheProgram guards against an instance with little memory that exceeds it under hostile callers, since its budgets are shares of memory that the program itself takes.
func TestSmallInstancesKeepRoomForTheProgram(t *testing.T) {
	for megabytes := int64(64); megabytes <= 1024; megabytes++ {
		memory := megabytes << 20
		limit, budget := collectorLimit(memory), budgetMemory(memory)
		if limit+mappedProgram > memory {
			t.Errorf("%d MB: the collector may use %d MB", megabytes, limit>>20)
		}
		if share := int64(float64(budget) * memoryLimitShare); share > limit+1 {
			t.Errorf("%d MB: budgets are shares of %d MB, the collector may use %d MB", megabytes, budget>>20, limit>>20)
		}
		if large := megabytes >= 107; large && budget != memory {
			t.Errorf("%d MB: budgets are shares of %d bytes less", megabytes, memory-budget)
		}
	}
}
