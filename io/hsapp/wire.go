//go:build wireinject

package hsapp

import (
	"log/slog"

	"github.com/google/wire"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/io/hsmetric"
	"hyssopseam/io/hssettings"
)

// initBase builds the dependencies that the roles of a process share.
func initBase(s *hssettings.Settings, log *slog.Logger) (*base, error) {
	wire.Build(newIncarnation, newProcess, newLinks, hsmetric.New, newDecisions, wire.Struct(new(base), "*"))
	return nil, nil
}

// initControl builds the control role.
func initControl(b *base) (*hscontrol.Control, func(), error) {
	wire.Build(newSender, controlPorts, openDisk, newControl)
	return nil, nil, nil
}

// initEntry builds the entry role.
func initEntry(b *base) *hsentry.Entry {
	wire.Build(newSender, newEntry)
	return nil
}

// initAgent builds the agent role.
func initAgent(b *base) (*agentRole, func()) {
	wire.Build(newSender, newPlatform, newAgent, wire.Struct(new(agentRole), "*"))
	return nil, nil
}

// initRunner builds the runner role.
func initRunner(b *base, e hsrunner.Endpoint) *hsrunner.Runner {
	wire.Build(newSender, newRunner)
	return nil
}
