package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames are the platform's names that the stand-ins speak. They are data here, as no Go code outside the adapter names
// them.
type wireNames struct {
	// Paths of the operator's and the machines' interfaces; GetWave takes the number of a wave.
	PutConfiguration, StartWave, GetWave string
	ListMachines, Upkeep                 string
	// Patterns of the calls to a worker.
	StartRun, StopRun, Hold string
	// TellSide takes the id of a worker and what it says.
	TellSide string
	// Fields of bodies.
	Fence, Prefix, Guards, Guaranteed, Cold, DrainLeft string
}

//go:embed wire.json
var wireContent []byte

var wire = func() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireContent, &w); err != nil {
		panic(err)
	}
	return w
}()
