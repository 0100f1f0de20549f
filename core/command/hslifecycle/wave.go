package hslifecycle

import (
	"time"

	"hyssopseam/core/hswork"
)

// startWave adds a wave of upkeep, unless there is one of its id. Beyond maxWaves the oldest wave is dropped if it is
// done.
func startWave(s *hswork.State, w *hswork.Wave, clock time.Duration) {
	if s.Wave(w.ID) != nil {
		return
	}
	accepted := *w
	accepted.Started = clock
	s.Waves = append(s.Waves, accepted)
	if len(s.Waves) > maxWaves && s.Waves[0].Done {
		s.Waves = s.Waves[1:]
	}
}

// recordUpkeep records that the upkeep of a machine was requested, and whether it has started.
func recordUpkeep(s *hswork.State, p *hswork.UpkeepProgress) {
	w := s.Wave(p.Wave)
	if w == nil {
		return
	}
	if m := w.Machine(p.Machine); m != nil {
		m.Requested = true
		m.Started = m.Started || p.Started
	}
}
