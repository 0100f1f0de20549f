package main

import (
	_ "embed"
	"encoding/json"
)

// wire holds the names that the platform's pages give to calls and fields, and the configuration of the operator.
var wire struct {
	RunStart      string
	RunStop       string
	Hold          string
	Pace          string
	ConfigPut     string
	Instances     string
	Token         string
	Cold          string
	Configuration json.RawMessage
}

//go:embed wire.json
var wireFile []byte

func init() {
	if err := json.Unmarshal(wireFile, &wire); err != nil {
		panic(err)
	}
}
