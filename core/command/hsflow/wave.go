package hsflow

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

// recordUpkeep records that the upkeep of a machine was ordered, and whether it has begun.
func recordUpkeep(s *hswork.State, n *hswork.UpkeepNote) {
	w := s.Wave(n.Wave)
	if w == nil {
		return
	}
	if m := w.Machine(n.Machine); m != nil {
		m.Ordered = true
		m.Begun = m.Begun || n.Begun
	}
}
